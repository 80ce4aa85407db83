#pragma once

#include "oleanderledge/consensus/ReplicatedLog.hpp"
#include "oleanderledge/transport/transport.hpp"

#include <functional>
#include <string>
#include <vector>

namespace oleanderledge {

/// The control group as a daemon uses it: the replicated log and the links between its members.
class ControlGroup
{
public:
  /// Handles a message of another control instance that does not belong to the replicated log.
  using MessageHandler = std::function<void(const InstanceInfo&, const Message&)>;
  /// Told that the log has failed and the process must stop.
  using FailureHandler = std::function<void(const Error&)>;

  virtual ~ControlGroup() = default;

  /// Restores the state and starts to take part. May tell of leadership at once.
  virtual Result<void> Start(MessageHandler aOnMessage, FailureHandler aOnFailure) = 0;
  /// Stops taking part.
  virtual void Stop() = 0;
  virtual ReplicatedLog& Log() = 0;
  virtual const ReplicatedLog& Log() const = 0;
  /// Replaces the link addresses at which other control instances may be found.
  virtual void SetPeerAddresses(std::vector<std::string> aAddresses) = 0;
  /// Uses a link that another control instance opened.
  virtual void AddLink(LinkConnection* aLink) = 0;
  /// Sends to another control instance. Returns false if there is no ready link.
  virtual bool SendToInstance(const std::string& aInstance, const Message& aMessage) = 0;
};

} // namespace oleanderledge
