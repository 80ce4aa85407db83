#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/control/Announcement.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace oleanderledge {

/// Calls of the platform functions on backend servers.
class BackendAdmin
{
public:
  /// Called once from the event loop, never from inside the call.
  using Callback = std::function<void(const Result<PlatformStatus>&)>;

  virtual ~BackendAdmin() = default;

  /// Runs `platform_promote(aTerm)`. The answer has no positions.
  virtual void Promote(const std::string& aDatabase,
                       const std::string& aAddress,
                       std::uint64_t aTerm,
                       Callback aCallback) = 0;
  /// Runs `platform_status()`.
  virtual void QueryStatus(const std::string& aDatabase,
                           const std::string& aAddress,
                           Callback aCallback) = 0;
};

} // namespace oleanderledge
