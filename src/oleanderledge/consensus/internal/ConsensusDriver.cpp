#include "oleanderledge/consensus/internal/ConsensusDriver.hpp"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

namespace oleanderledge {

namespace {

constexpr std::chrono::milliseconds kMaintenanceInterval(100);
/// Time until a write that the disk refused is tried again.
constexpr std::chrono::milliseconds kDiskRetryInterval(500);
/// A write that takes this long is logged. Just under the minimum election timeout of 300 ms.
constexpr Duration kSlowWrite = std::chrono::milliseconds(250);
constexpr Duration kJoinRequestInterval = std::chrono::milliseconds(300);
constexpr std::size_t kMaxMemberIdBytes = 255;
/// Members whose instance is remembered although they are not in the list of members.
constexpr std::size_t kMaxKnownMembers = 256;
/// Below the maximum frame size of a link, with room for the other fields of the request.
constexpr std::size_t kMaxCommandBytes = std::size_t{ 8 } * 1024 * 1024;

std::string FormatMembers(const std::vector<ControlMember>& aMembers)
{
  std::string text;
  for (const ControlMember& member : aMembers) {
    text +=
      (text.empty() ? "" : ",") + DescribeMember(member) + (member.voter ? ":voter" : ":learner");
    if (member.replacement != ReplacementPart::None) {
      text += member.replacement == ReplacementPart::Incoming ? "/incoming" : "/outgoing";
    }
  }
  return text;
}

std::mt19937_64 SeededRandom()
{
  std::random_device device;
  std::seed_seq seed{ device(), device(), device(), device() };
  return std::mt19937_64(seed);
}

} // namespace

ConsensusDriver::ConsensusDriver(const InstanceInfo& aSelf,
                                 ConsensusDriverSettings aSettings,
                                 FileSystem& aFiles,
                                 ReplicatedState& aState,
                                 LeadershipListener& aListener,
                                 QObject* aParent)
  : QObject(aParent)
  , selfInfo(aSelf)
  , settings(std::move(aSettings))
  , files(aFiles)
  , state(aState)
  , listener(aListener)
  , links(aSelf, this->settings.latency, this)
  , founding(aSelf.id, this->settings.initialMembers)
  , maintenance(this->settings.maintenance)
  , snapshotPolicy(this->settings.snapshots)
{
  this->raftTimer.setSingleShot(true);
  this->raftTimer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->raftTimer, &QTimer::timeout, this, &ConsensusDriver::OnRaftTimer);
  QObject::connect(
    &this->maintenanceTimer, &QTimer::timeout, this, &ConsensusDriver::OnMaintenanceTimer);
  QObject::connect(&this->links,
                   &MemberLinks::Received,
                   this,
                   [this](const InstanceInfo& aPeer, const Message& aMessage) {
                     if (!this->HandleMessage(aPeer, aMessage)) {
                       Q_EMIT this->NonConsensusMessageReceived(aPeer, aMessage);
                     }
                   });
}

Result<void> ConsensusDriver::Start()
{
  BOOST_OUTCOME_TRY(opened, MemberStorage::Open(this->files, this->settings.dataFolder));
  this->storage = std::move(opened);
  this->writer =
    std::make_unique<StorageWriter>(*this->storage, [this](StorageWriter::Written aWritten) {
      this->HandleWritten(std::move(aWritten));
    });
  PersistentState stored = this->storage->TakeLoadedState();
  if (stored.snapshot) {
    const auto content = DecodeSnapshotContent(*stored.snapshot->content);
    if (!content) {
      return Fail(ResultCode::StorageCorrupt, content.error().message);
    }
  }
  WriteLog(LogEvent::StorageOpened,
           "folder=" + this->settings.dataFolder + " member=" + this->storage->MemberId() +
             " term=" + std::to_string(stored.hardState.term) +
             " entries=" + std::to_string(stored.entries.size()));
  this->StartNode(std::move(stored));
  if (!this->node) {
    return Fail(ResultCode::StorageCorrupt, "the stored snapshot could not be restored");
  }
  this->maintenanceTimer.start(kMaintenanceInterval);
  this->OnMaintenanceTimer();
  return boost::outcome_v2::success();
}

void ConsensusDriver::StartNode(PersistentState aStored)
{
  this->node.emplace(this->storage->MemberId(),
                     this->settings.raft,
                     std::move(aStored),
                     SeededRandom(),
                     MonotonicNow());
  this->ExecuteActions(this->node->Start());
}

void ConsensusDriver::Stop()
{
  this->raftTimer.stop();
  this->maintenanceTimer.stop();
  this->node.reset();
  this->pendingWrites.clear();
  this->pendingActions.clear();
  this->links.CloseAll();
  if (std::exchange(this->isLeading, false)) {
    this->listener.OnLeadershipLost();
  }
  for (const auto& [proposal, callback] : std::exchange(this->proposalCallbacks, {})) {
    callback(Fail(ResultCode::OutcomeUnknown, "the replicated log stopped"));
  }
}

void ConsensusDriver::StopWithError(ResultCode aCode, const std::string& aReason)
{
  WriteLog(LogEvent::ConsensusStopped,
           "code=" + std::to_string(static_cast<unsigned>(aCode)) + " reason=" + aReason);
  this->Stop();
  Q_EMIT this->Failed(Error{ aCode, aReason });
}

std::string ConsensusDriver::MemberId() const
{
  return this->storage ? this->storage->MemberId() : std::string{};
}

// --- Links and messages -------------------------------------------------------------------------

void ConsensusDriver::AddLink(LinkConnection* aLink)
{
  this->links.AddAcceptedLink(aLink);
}

bool ConsensusDriver::SendToInstance(const std::string& aInstance, const Message& aMessage)
{
  return this->links.Send(aInstance, aMessage);
}

bool ConsensusDriver::HandleMessage(const InstanceInfo& aPeer, const Message& aMessage)
{
  if (aPeer.role != InstanceRole::Control) {
    return false;
  }
  const auto* join = std::get_if<JoinRequest>(&aMessage);
  const auto* leave = std::get_if<LeaveRequest>(&aMessage);
  const std::string sender = SenderOf(aMessage);
  if (join == nullptr && leave == nullptr && sender.empty()) {
    return false;
  }
  // Member ids are generated by the program and short.
  if (sender.size() > kMaxMemberIdBytes ||
      (join != nullptr && join->memberId.size() > kMaxMemberIdBytes)) {
    return true;
  }
  const Instant now = MonotonicNow();
  this->contacts.OnMessage(aPeer.id, aMessage, now);
  if (!this->node || this->isDiskFull) {
    return true;
  }
  if (join != nullptr) {
    this->HandleJoinRequest(aPeer, *join, now);
    return true;
  }
  if (leave != nullptr) {
    this->maintenance.OnLeaveRequest(leave->memberId, now);
    this->ProposeMembershipChange();
    return true;
  }
  if (this->instanceByMember.size() >= kMaxKnownMembers &&
      !this->instanceByMember.contains(sender)) {
    // Members send messages all the time, so they are soon known again.
    this->instanceByMember.clear();
  }
  this->instanceByMember[sender] = aPeer.id;
  this->ExecuteActions(this->node->OnMessage(aMessage, now));
  return true;
}

void ConsensusDriver::HandleJoinRequest(const InstanceInfo& aPeer,
                                        const JoinRequest& aRequest,
                                        Instant aNow)
{
  if (!this->HasLog()) {
    this->founding.OnJoinRequest(aRequest, aNow);
    return;
  }
  if (this->node->Role() == RaftRole::Leader) {
    this->maintenance.OnJoinRequest(aRequest, aNow);
    return;
  }
  // Only requests that arrive directly from their sender are forwarded. Otherwise members that
  // disagree about the leader could forward them in a loop.
  const std::string& leader = this->node->LeaderId();
  if (aPeer.id == aRequest.instance.id && !leader.empty()) {
    this->links.Send(this->InstanceOf(leader), aRequest);
  }
}

std::string ConsensusDriver::InstanceOf(const std::string& aMember) const
{
  if (const ControlMember* member = FindMember(this->node->Members(), aMember)) {
    return member->instance;
  }
  const auto found = this->instanceByMember.find(aMember);
  return found == this->instanceByMember.end() ? std::string{} : found->second;
}

std::vector<std::string> ConsensusDriver::KnownAddresses() const
{
  std::vector<std::string> addresses;
  addresses.reserve(this->node->Members().size() + this->settings.initialMembers.size() +
                    this->settings.peerAddresses.size());
  const std::vector<ControlMember>& members = this->node->Members();
  const bool isMember = FindMember(members, this->node->Self()) != nullptr;
  for (const ControlMember& member : members) {
    addresses.push_back(member.linkAddress);
  }
  // While the group has a leader, a member connects only to the members, not to configured
  // addresses of instances that may have been replaced.
  if (!isMember || !this->node->HasCurrentLeader(MonotonicNow())) {
    for (const InitialMember& initial : this->settings.initialMembers) {
      addresses.push_back(initial.linkAddress);
    }
    for (const std::string& address : this->settings.peerAddresses) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

bool ConsensusDriver::HasLog() const
{
  return this->node->Log().LastIndex() > 0;
}

// --- Timers -------------------------------------------------------------------------------------

void ConsensusDriver::OnRaftTimer()
{
  if (this->node) {
    this->ExecuteActions(this->node->OnTick(MonotonicNow()));
  }
}

void ConsensusDriver::ArmRaftTimer()
{
  if (!this->node) {
    return;
  }
  const Duration wait = this->node->NextDeadline() - MonotonicNow();
  this->raftTimer.start(
    std::max(std::chrono::milliseconds(0), std::chrono::ceil<std::chrono::milliseconds>(wait)));
}

void ConsensusDriver::OnMaintenanceTimer()
{
  if (!this->node) {
    return;
  }
  const Instant now = MonotonicNow();
  this->links.RefreshLinks(this->KnownAddresses(), now);
  this->LogLeaderStatus(now);
  this->maintenance.Observe(
    *this->node,
    [this](const std::string& aInstance) { return this->links.HeardAt(aInstance); },
    now);
  if (!this->HasLog()) {
    if (const auto members = this->founding.FoundingMembers(this->node->Self(), now)) {
      this->FoundGroup(*members);
      return;
    }
  }
  if (this->isLeaving) {
    this->SendLeaveRequest(now);
  } else {
    this->SendJoinRequest(now);
  }
  this->ProposeMembershipChange();
}

void ConsensusDriver::LogLeaderStatus(Instant aNow)
{
  const auto status = this->leaderWatch.Observe(
    *this->node,
    this->contacts,
    [this](const ControlMember& aMember) { return this->links.IsLinked(aMember.instance); },
    aNow);
  if (status) {
    WriteLog(status->event, status->detail);
  }
  for (const LeaderWatch::Status& line :
       this->replicationWatch.Observe(*this->node, this->maintenance, this->contacts, aNow)) {
    WriteLog(line.event, line.detail);
  }
}

void ConsensusDriver::ProposeMembershipChange()
{
  if (!this->node) {
    return;
  }
  if (const auto members = this->maintenance.NextChange(*this->node, MonotonicNow())) {
    WriteLog(LogEvent::MembershipChangeStarted,
             "reason=" + std::string(ToString(this->maintenance.ChangeReason())) +
               " members=" + FormatMembers(*members));
    this->ChangeMembers(*members, [](const Result<std::uint64_t>&) {});
  }
}

void ConsensusDriver::BeginLeave()
{
  this->isLeaving = true;
  if (this->node) {
    this->SendLeaveRequest(MonotonicNow());
  }
}

bool ConsensusDriver::HasLeft() const
{
  return !this->node || !IsVoter(this->committedMembers, this->node->Self()) ||
         CountVoters(this->committedMembers) == 1;
}

void ConsensusDriver::SendLeaveRequest(Instant aNow)
{
  const std::string& self = this->node->Self();
  const std::string& leader = this->node->LeaderId();
  if (leader == self) {
    this->maintenance.OnLeaveRequest(self, aNow);
    this->ProposeMembershipChange();
  } else if (!leader.empty()) {
    this->links.Send(this->InstanceOf(leader), LeaveRequest{ self });
  }
}

void ConsensusDriver::SendJoinRequest(Instant aNow)
{
  if (!this->maintenance.ShouldRequestJoin(*this->node, aNow) ||
      aNow - this->lastJoinRequestAt < kJoinRequestInterval) {
    return;
  }
  this->lastJoinRequestAt = aNow;
  this->links.SendToAll(JoinRequest{ this->selfInfo, this->node->Self(), this->HasLog() });
}

void ConsensusDriver::FoundGroup(const std::vector<ControlMember>& aMembers)
{
  // Earlier writes must not follow the founding batch: their hard state is older. The maintenance
  // timer tries again.
  if (this->writer->IsBusy() || !this->pendingWrites.empty()) {
    return;
  }
  PersistBatch batch = RaftNode::FoundingBatch(aMembers);
  // This member may have adopted a newer term or voted since it started.
  batch.hardState.term = std::max(batch.hardState.term, this->node->Term() + 1);
  const auto written = this->storage->Persist(std::span(&batch, 1));
  if (!written && written.error().code == ResultCode::StorageFull) {
    // The maintenance timer tries again.
    WriteLog(LogEvent::StorageFull,
             "folder=" + this->settings.dataFolder + " reason=" + written.error().message);
    return;
  }
  if (!written) {
    this->StopWithError(written.error().code, written.error().message);
    return;
  }
  WriteLog(LogEvent::GroupFounded, "members=" + FormatMembers(aMembers));
  this->StartNode({ batch.hardState, std::nullopt, batch.entries });
}

// --- Actions ------------------------------------------------------------------------------------

void ConsensusDriver::ExecuteActions(RaftActions aActions)
{
  for (RaftAction& action : aActions) {
    this->pendingActions.push_back(std::move(action));
  }
  // The state, the listener and callbacks may call the driver again. The actions of such nested
  // calls are queued behind the pending ones.
  if (this->isExecuting) {
    return;
  }
  this->isExecuting = true;
  while (!this->pendingActions.empty()) {
    const RaftAction action = std::move(this->pendingActions.front());
    this->pendingActions.pop_front();
    this->ExecuteAction(action);
  }
  this->CompactIfDue();
  this->isExecuting = false;
  this->ArmRaftTimer();
}

void ConsensusDriver::ExecuteAction(const RaftAction& aAction)
{
  if (const auto* send = std::get_if<SendAction>(&aAction)) {
    this->links.Send(this->InstanceOf(send->to), send->message);
  } else if (const auto* persist = std::get_if<PersistAction>(&aAction)) {
    this->pendingWrites.push_back(persist->batch);
    this->ScheduleWrites();
  } else if (const auto* apply = std::get_if<ApplyAction>(&aAction)) {
    this->snapshotPolicy.OnApplied(apply->entry);
    if (apply->entry.kind == LogEntryKind::Command) {
      this->state.Apply(apply->entry.index, apply->entry.command);
    }
    this->appliedIndex = apply->entry.index;
  } else if (const auto* restore = std::get_if<RestoreAction>(&aAction)) {
    const auto content = DecodeSnapshotContent(*restore->snapshot.content);
    const auto restored =
      content ? this->state.Restore(restore->snapshot.lastIndex, content.value().state)
              : Result<void>(Fail(content.error().code, content.error().message));
    if (!restored) {
      this->StopWithError(ResultCode::StorageCorrupt, "snapshot: " + restored.error().message);
      return;
    }
    this->appliedIndex = restore->snapshot.lastIndex;
    this->snapshotPolicy.OnSnapshot();
    WriteLog(LogEvent::SnapshotRestored,
             "index=" + std::to_string(restore->snapshot.lastIndex) +
               " bytes=" + std::to_string(restore->snapshot.content->size()));
  } else if (const auto* result = std::get_if<ProposalResultAction>(&aAction)) {
    this->CompleteProposal(*result);
  } else if (const auto* gained = std::get_if<LeadershipGainedAction>(&aAction)) {
    WriteLog(LogEvent::LeadershipGained, "term=" + std::to_string(gained->term));
    this->isLeading = true;
    this->maintenance.OnLeadershipGained(MonotonicNow());
    this->listener.OnLeadershipGained(gained->term);
  } else if (std::holds_alternative<LeadershipLostAction>(aAction)) {
    WriteLog(LogEvent::LeadershipLost, "term=" + std::to_string(this->Term()));
    this->isLeading = false;
    this->listener.OnLeadershipLost();
  } else if (const auto* members = std::get_if<MembersCommittedAction>(&aAction)) {
    this->committedMembers = members->members;
    WriteLog(LogEvent::MembersCommitted, "members=" + FormatMembers(members->members));
    // The next change follows at once: until a replacement is complete, the group may bear the loss
    // of fewer disks.
    QMetaObject::invokeMethod(
      this, &ConsensusDriver::ProposeMembershipChange, Qt::QueuedConnection);
  } else if (const auto* fault = std::get_if<FaultAction>(&aAction)) {
    this->StopWithError(ResultCode::StorageCorrupt, fault->reason);
  }
}

void ConsensusDriver::CompactIfDue()
{
  if (!this->node || !this->snapshotPolicy.IsDue(*this->node)) {
    return;
  }
  this->snapshotPolicy.OnSnapshot();
  for (const RaftAction& action : this->node->Compact(this->state.Serialize())) {
    this->ExecuteAction(action);
  }
}

/// Defers writes to the next iteration of the event loop, so that commands that arrive together
/// share one sync.
void ConsensusDriver::ScheduleWrites()
{
  if (std::exchange(this->writesScheduled, true)) {
    return;
  }
  QMetaObject::invokeMethod(this, &ConsensusDriver::FlushWrites, Qt::QueuedConnection);
}

void ConsensusDriver::FlushWrites()
{
  this->writesScheduled = false;
  if (this->pendingWrites.empty() || !this->node || this->writer->IsBusy()) {
    return;
  }
  this->writer->Store(std::exchange(this->pendingWrites, {}));
}

void ConsensusDriver::HandleWritten(StorageWriter::Written aWritten)
{
  if (!this->node) {
    return;
  }
  if (aWritten.took >= kSlowWrite) {
    WriteLog(LogEvent::StorageSlow,
             "batches=" + std::to_string(aWritten.batches.size()) +
               " took_ms=" + std::to_string(aWritten.took / std::chrono::milliseconds(1)));
  }
  const std::uint64_t lastSequence = aWritten.batches.back().sequence;
  if (!aWritten.result && aWritten.result.error().code == ResultCode::StorageFull) {
    std::ranges::move(this->pendingWrites, std::back_inserter(aWritten.batches));
    this->pendingWrites = std::move(aWritten.batches);
    this->WaitForDisk(aWritten.result.error().message);
    return;
  }
  if (!aWritten.result) {
    this->StopWithError(aWritten.result.error().code, aWritten.result.error().message);
    return;
  }
  if (std::exchange(this->isDiskFull, false)) {
    WriteLog(LogEvent::StorageRecovered, "batches=" + std::to_string(aWritten.batches.size()));
  }
  this->FlushWrites();
  this->ExecuteActions(this->node->OnPersisted(lastSequence, MonotonicNow()));
}

void ConsensusDriver::WaitForDisk(const std::string& aReason)
{
  if (!std::exchange(this->isDiskFull, true)) {
    WriteLog(LogEvent::StorageFull, "folder=" + this->settings.dataFolder + " reason=" + aReason);
  }
  // Writes that come meanwhile wait for the same attempt.
  this->writesScheduled = true;
  QTimer::singleShot(kDiskRetryInterval, this, &ConsensusDriver::FlushWrites);
}

// --- ReplicatedLog ------------------------------------------------------------------------------

std::uint64_t ConsensusDriver::AddProposalCallback(ProposeCallback aCallback)
{
  const std::uint64_t proposal = ++this->nextProposal;
  this->proposalCallbacks.emplace(proposal, std::move(aCallback));
  return proposal;
}

void ConsensusDriver::CompleteProposal(const ProposalResultAction& aResult)
{
  auto found = this->proposalCallbacks.extract(aResult.proposal);
  if (found.empty()) {
    return;
  }
  if (aResult.code == ResultCode::Ok) {
    found.mapped()(aResult.index);
  } else {
    found.mapped()(Fail(aResult.code, aResult.message));
  }
}

void ConsensusDriver::Propose(std::string aCommand, ProposeCallback aCallback)
{
  if (!this->node || this->node->Role() != RaftRole::Leader) {
    aCallback(Fail(ResultCode::NotLeader, "this member is not the leader"));
    return;
  }
  if (aCommand.size() > kMaxCommandBytes) {
    aCallback(Fail(ResultCode::MessageTooLarge,
                   "the command exceeds the size limit of the replicated log"));
    return;
  }
  const std::uint64_t proposal = this->AddProposalCallback(std::move(aCallback));
  this->ExecuteActions(this->node->Propose(proposal, std::move(aCommand), MonotonicNow()));
}

void ConsensusDriver::ChangeMembers(std::vector<ControlMember> aMembers, ProposeCallback aCallback)
{
  if (!this->node || this->node->Role() != RaftRole::Leader) {
    aCallback(Fail(ResultCode::NotLeader, "this member is not the leader"));
    return;
  }
  const std::uint64_t proposal = this->AddProposalCallback(std::move(aCallback));
  this->ExecuteActions(this->node->ChangeMembers(proposal, aMembers, MonotonicNow()));
}

bool ConsensusDriver::HasLeaderLease(Instant aNow) const
{
  return this->isLeading && this->node && this->node->HasLeaderLease(aNow);
}

bool ConsensusDriver::HasConfirmedState() const
{
  return this->node && this->node->HasConfirmedState() &&
         this->appliedIndex >= this->node->AppliedIndex();
}

bool ConsensusDriver::HasCurrentLeader(Instant aNow) const
{
  // A follower that cannot apply must not keep proxies and operators: it would answer them with the
  // leader's consent, but with an older state.
  return this->node && this->node->HasCurrentLeader(aNow) && !this->node->IsDiskBehind(aNow);
}

ControlMember ConsensusDriver::Leader() const
{
  if (!this->node) {
    return {};
  }
  const ControlMember* leader = FindMember(this->node->Members(), this->node->LeaderId());
  return leader == nullptr ? ControlMember{} : *leader;
}

std::uint64_t ConsensusDriver::Term() const
{
  return this->node ? this->node->Term() : 0;
}

std::uint64_t ConsensusDriver::AppliedIndex() const
{
  return this->appliedIndex;
}

std::vector<ControlMember> ConsensusDriver::Members() const
{
  return this->committedMembers;
}

} // namespace oleanderledge
