#pragma once

#include <cstddef>

namespace oleanderledge {

/// Limits on what requests make a control instance store. Anyone who reaches its ports may name
/// instances, servers, databases and classes that do not exist.
struct ControlLimits
{
  std::size_t instances = 1'000; ///< Processes, of which 300 are planned.
  std::size_t databases = 4'096; ///< Databases that are announced, of which 2,500 are planned.
  std::size_t slotsPerDatabase = 16;
  std::size_t backendServers = 1'024; ///< Registered servers, of which 72 are planned.
  /// Classes of work. An answer with all of them is stored for each change that conflicts.
  std::size_t classes = 64;
};

} // namespace oleanderledge
