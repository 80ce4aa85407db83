#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/RouteRows.hpp"
#include "oleanderledge/link/ServerPosition.hpp"

#include <functional>
#include <optional>

namespace oleanderledge {

/// Queries the position up to which a backend server has received the log of its service, and
/// whether it leads.
class PositionQuery
{
public:
  /// The argument is empty if the server did not answer in time.
  using Callback = std::function<void(const std::optional<ServerPosition>&)>;

  virtual ~PositionQuery() = default;

  /// Calls back exactly once.
  virtual void QueryReceived(const BackendRow& aBackend, Callback aCallback) = 0;
};

} // namespace oleanderledge
