#pragma once

#include "oleanderledge/consensus/ReplicatedLog.hpp"
#include "oleanderledge/consensus/ReplicationWatch.hpp"
#include "oleanderledge/transport/transport.hpp"

#include <functional>
#include <string>
#include <vector>

namespace oleanderledge {

/// A member's access to the control group: the replicated log and the links between the members.
class ControlGroup
{
public:
  /// Handles a message of another control instance that does not belong to the replicated log.
  using MessageHandler = std::function<void(const InstanceInfo&, const Message&)>;
  /// Called when the replicated log has failed; the process must then stop.
  using FailureHandler = std::function<void(const Error&)>;

  virtual ~ControlGroup() = default;

  /// Restores the state and joins the group. May call the LeadershipListener before it returns.
  /// Fails with StorageCorrupt, StorageOpenFailed or StorageWriteFailed.
  virtual Result<void> Start(MessageHandler aOnMessage, FailureHandler aOnFailure) = 0;
  /// Starts to hand the vote of this member over to another one, before a planned Stop().
  virtual void BeginLeave() = 0;
  /// True if the group does not depend on this member, so that it may stop.
  virtual bool HasLeft() const = 0;
  /// Stops taking part. Open proposals end with OutcomeUnknown.
  virtual void Stop() = 0;
  virtual ReplicatedLog& Log() = 0;
  virtual const ReplicatedLog& Log() const = 0;
  /// For metrics: the voters, if this member leads.
  virtual VoterHealth Voters(Instant /*aNow*/) const { return {}; }
  /// Replaces the link addresses ("ip:port") at which this member looks for other control
  /// instances.
  virtual void SetPeerAddresses(std::vector<std::string> aAddresses) = 0;
  /// Adds a link that another control instance opened to this one.
  virtual void AddLink(LinkConnection* aLink) = 0;
  /// Sends a message to another control instance. Returns false if there is no ready link to it.
  virtual bool SendToInstance(const std::string& aInstance, const Message& aMessage) = 0;
};

} // namespace oleanderledge
