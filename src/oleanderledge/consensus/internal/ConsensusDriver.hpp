#pragma once

#include "oleanderledge/consensus/consensus.hpp"
#include "oleanderledge/consensus/internal/GroupFounding.hpp"
#include "oleanderledge/consensus/internal/MemberLinks.hpp"
#include "oleanderledge/consensus/internal/StorageWriter.hpp"
#include "oleanderledge/storage/storage.hpp"
#include "oleanderledge/transport/transport.hpp"

#include <QObject>
#include <QTimer>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleanderledge {

/// Settings of a control instance for its group.
struct ConsensusDriverSettings
{
  std::string dataFolder;
  /// The instances that form the group at its first start. May be empty if the group exists. All
  /// control instances have the same list, including those that are not in it. These join as
  /// learners, serve as spares, relay heartbeats to the leader, and may be promoted. Once the group
  /// exists, the list serves only as addresses to connect to.
  std::vector<InitialMember> initialMembers;
  /// Additional link addresses of control instances, "ip:port".
  std::vector<std::string> peerAddresses;
  RaftSettings raft;
  GroupMaintenanceSettings maintenance;
  EmulatedLatency latency;
  SnapshotPolicySettings snapshots;
};

/// The replicated log of one control instance: connects RaftNode to the data folder, Qt timers and
/// links. Must be used in the control thread only; writes run in a thread of their own.
///
/// First start of a group: every initial instance has an empty data folder, creates a new member id
/// and requests to join. The initial instance with the lowest id founds the group once all others
/// have requested to join for 1 s and none of them has a log; until then there is no leader. Any
/// other instance with an empty folder, including one that lost its disk, is admitted by the leader
/// as a learner, and promoted when it has caught up and a voter is missing or lost.
///
/// Use:
///   ConsensusDriver driver(self, settings, files, state, listener, parent);
///   connect(&driver, &ConsensusDriver::Failed, ...);  // stop the process
///   driver.Start();                                   // restores `state`, may fail
///   // for each accepted link whose peer has InstanceRole::Control:
///   driver.AddLink(link);
class ConsensusDriver
  : public QObject
  , public ReplicatedLog
{
  Q_OBJECT

public:
  /// All references must outlive the driver. `aSelf.linkAddress` is the address at which the daemon
  /// accepts links. `aState` must be empty; Start() restores it from disk.
  ConsensusDriver(const InstanceInfo& aSelf,
                  ConsensusDriverSettings aSettings,
                  FileSystem& aFiles,
                  ReplicatedState& aState,
                  LeadershipListener& aListener,
                  QObject* aParent);

  /// Opens the data folder, restores the state and starts timers and links. Fails with
  /// StorageCorrupt, StorageOpenFailed or StorageWriteFailed; the process should then stop. If
  /// `aState` rejects the stored snapshot, emits Failed and then returns StorageCorrupt.
  Result<void> Start();

  /// Asks the leader, until Stop(), to replace this member as a voter.
  void BeginLeave();
  /// True if this member does not vote, or is the only voter. Until another member has replaced it,
  /// the group bears the loss of fewer disks without it.
  bool HasLeft() const;

  /// Leaves the protocol: closes all links and writes nothing more. Pending proposals end with
  /// OutcomeUnknown.
  void Stop();

  /// Replaces the additional addresses of control instances, "ip:port".
  void SetPeerAddresses(std::vector<std::string> aAddresses)
  {
    this->settings.peerAddresses = std::move(aAddresses);
  }

  /// Uses an accepted link to a control instance. The driver handles the consensus messages that
  /// arrive on it and emits NonConsensusMessageReceived for others, for example RelayedHeartbeats.
  /// The caller keeps ownership of the link.
  void AddLink(LinkConnection* aLink);

  /// Handles a consensus message from a link that was not passed to AddLink(). Returns false for
  /// other messages and for peers that are not control instances. Drops consensus messages while
  /// the driver is not running.
  bool HandleMessage(const InstanceInfo& aPeer, const Message& aMessage);

  /// Sends any message to a control instance, over a link opened by either side. Returns false,
  /// without sending, if there is no ready link or its queue is full.
  bool SendToInstance(const std::string& aInstance, const Message& aMessage);

  /// Member id stored in the data folder; empty before Start().
  std::string MemberId() const;

  /// The state machine, for status pages and tests; null before Start() and after Stop().
  const RaftNode* Node() const { return this->node ? &*this->node : nullptr; }

  // ReplicatedLog
  void Propose(std::string aCommand, ProposeCallback aCallback) override;
  bool HasLeaderLease(Instant aNow) const override;
  bool HasCurrentLeader(Instant aNow) const override;
  bool HasConfirmedState() const override;
  ControlMember Leader() const override;
  std::uint64_t Term() const override;
  std::uint64_t AppliedIndex() const override;
  /// The latest committed list.
  std::vector<ControlMember> Members() const override;
  void ChangeMembers(std::vector<ControlMember> aMembers, ProposeCallback aCallback) override;

Q_SIGNALS:
  /// A write failed or stored data is inconsistent. The driver has stopped; the process must exit
  /// and may be restarted.
  void Failed(const oleanderledge::Error& aError);

  /// A message that is not part of the consensus protocol arrived on a link that the driver opened
  /// or that was passed to AddLink().
  void NonConsensusMessageReceived(const oleanderledge::InstanceInfo& aPeer,
                                   const oleanderledge::Message& aMessage);

private:
  void StartNode(PersistentState aStored);
  void OnRaftTimer();
  void OnMaintenanceTimer();
  void FoundGroup(const std::vector<ControlMember>& aMembers);
  void LogLeaderStatus(Instant aNow);
  void SendJoinRequest(Instant aNow);
  void SendLeaveRequest(Instant aNow);
  /// Proposes the next change of the members, if this member leads and one is due.
  void ProposeMembershipChange();
  void HandleJoinRequest(const InstanceInfo& aPeer, const JoinRequest& aRequest, Instant aNow);
  std::string InstanceOf(const std::string& aMember) const;
  std::vector<std::string> KnownAddresses() const;
  bool HasLog() const;

  void ExecuteActions(RaftActions aActions);
  void ExecuteAction(const RaftAction& aAction);
  void ArmRaftTimer();
  void CompactIfDue();
  void ScheduleWrites();
  /// Starts to store the pending writes, unless a write is in progress.
  void FlushWrites();
  void HandleWritten(StorageWriter::Written aWritten);
  /// Schedules another attempt to store the pending writes.
  void WaitForDisk(const std::string& aReason);
  void StopWithError(ResultCode aCode, const std::string& aReason);
  std::uint64_t AddProposalCallback(ProposeCallback aCallback);
  void CompleteProposal(const ProposalResultAction& aResult);

  InstanceInfo selfInfo;
  ConsensusDriverSettings settings;
  FileSystem& files;
  ReplicatedState& state;
  LeadershipListener& listener;

  MemberLinks links;
  GroupFounding founding;
  GroupMaintenance maintenance;
  MemberContacts contacts;
  LeaderWatch leaderWatch;
  ReplicationWatch replicationWatch;
  std::unique_ptr<MemberStorage> storage;
  std::unique_ptr<StorageWriter> writer; ///< Uses `storage`.
  std::optional<RaftNode> node;
  std::vector<ControlMember> committedMembers;
  /// Instance id of the peer that last sent messages of a member, by member id.
  std::map<std::string, std::string, std::less<>> instanceByMember;

  QTimer raftTimer;
  QTimer maintenanceTimer;
  std::deque<RaftAction> pendingActions;
  bool isExecuting = false;
  /// True from OnLeadershipGained() to OnLeadershipLost() of the listener.
  bool isLeading = false;
  std::vector<PersistBatch> pendingWrites;
  bool writesScheduled = false;
  /// The disk refused a write, which is tried again. Meanwhile the member receives no consensus
  /// messages: a leader steps down, and nothing is acknowledged that is not stored.
  bool isDiskFull = false;
  std::map<std::uint64_t, ProposeCallback> proposalCallbacks;
  std::uint64_t nextProposal = 0;
  /// Last index applied to `state`, which lags behind the node while actions are pending.
  std::uint64_t appliedIndex = 0;
  SnapshotPolicy snapshotPolicy;
  Instant lastJoinRequestAt{};
  bool isLeaving = false;
};

} // namespace oleanderledge
