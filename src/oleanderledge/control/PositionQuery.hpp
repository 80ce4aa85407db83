#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/RouteRows.hpp"

#include <functional>
#include <optional>

namespace oleanderledge {

/// Asks backend servers how much of the log of their service they have received.
class PositionQuery
{
public:
  /// Nothing if the server did not answer in time.
  using Callback = std::function<void(std::optional<LogPosition>)>;

  virtual ~PositionQuery() = default;

  /// Calls back exactly once.
  virtual void QueryReceived(const BackendRow& aBackend, Callback aCallback) = 0;
};

} // namespace oleanderledge
