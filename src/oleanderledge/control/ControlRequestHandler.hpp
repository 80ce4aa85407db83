#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/RouteRows.hpp"

#include <functional>
#include <string>

namespace oleanderledge {

/// Requests of backend servers and operators to a control instance, independent of the protocol
/// over which they arrive.
class ControlRequestHandler
{
public:
  /// How a request ended.
  enum class Outcome
  {
    Done,        ///< In effect and durable on a majority.
    NotLeading,  ///< The request must be sent to the leader, see LeaderIpAddress().
    Unavailable, ///< The request may or may not take effect; it can be repeated.
  };
  using Callback = std::function<void(Outcome)>;

  virtual ~ControlRequestHandler() = default;

  /// Registers a backend server or renews its registration.
  virtual void RegisterBackend(const BackendRow& aBackend, Callback aCallback) = 0;
  /// Removes the registration of a backend server that ends.
  virtual void RemoveBackend(const std::string& aBackend, Callback aCallback) = 0;
  /// Stores a configuration, which must be valid. If it is not newer than the stored one, the
  /// outcome is Done without a change.
  virtual void StoreConfiguration(RouteConfiguration aConfiguration, Callback aCallback) = 0;
  /// The newest configuration as the operator sent it. Fails with NotLeader if this instance does
  /// not lead or holds no leader lease, so that its configuration may not be the newest. Fails with
  /// NoQuorum if no configuration was stored yet.
  virtual Result<std::string> ReadConfiguration() const = 0;
  /// IP address of the control leader; empty if it is not known.
  virtual std::string LeaderIpAddress() const = 0;
};

} // namespace oleanderledge
