#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/RouteRows.hpp"

#include <functional>
#include <string>

namespace oleanderledge {

/// What backend servers and operators may ask of a control instance, independent of the protocol in
/// which they ask.
class ControlRequestHandler
{
public:
  /// How a request ended. `Unavailable`: it may take effect or not; the caller may repeat it.
  enum class Outcome
  {
    Done,       ///< In force and durable on a majority.
    NotLeading, ///< Ask the leader instead, see LeaderIpAddress().
    Unavailable,
  };
  using Callback = std::function<void(Outcome)>;

  virtual ~ControlRequestHandler() = default;

  /// A backend server registers or confirms its registration.
  virtual void RegisterBackend(const BackendRow& aBackend, Callback aCallback) = 0;
  /// A backend server ends.
  virtual void RemoveBackend(const std::string& aBackend, Callback aCallback) = 0;
  /// Stores a valid configuration. One that is not newer than the one held is done already.
  virtual void StoreConfiguration(RouteConfiguration aConfiguration, Callback aCallback) = 0;
  /// The newest configuration as the operator sent it. Fails with NotLeader, or with NoQuorum while
  /// this instance cannot be sure which is the newest.
  virtual Result<std::string> ReadConfiguration() const = 0;
  /// IP address of the control leader; empty if it is not known.
  virtual std::string LeaderIpAddress() const = 0;
};

} // namespace oleanderledge
