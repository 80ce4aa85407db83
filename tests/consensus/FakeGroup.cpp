#include "tests/consensus/FakeGroup.hpp"

#include <algorithm>
#include <climits>
#include <cmath>
#include <functional>

namespace oleanderledge {

namespace {

/// More file operations than the longest write of a batch has.
constexpr std::int64_t kMaxOperationsBeforeCrash = 15;
constexpr std::int64_t kMaintenanceIntervalUs = 100 * FakeGroup::kMillisecond;
/// As in MemberLinks.
constexpr std::int64_t kMaxQueuedBytes = std::int64_t{ 8 } * 1024 * 1024;
/// Just under half of the clock drift between two members that the leader lease allows.
constexpr double kMaxClockRateError = 0.0099;

std::uint64_t ExtendHash(std::uint64_t aBefore, const LogEntry& aEntry)
{
  std::uint64_t hash = aBefore * 1099511628211ULL + aEntry.term;
  hash = hash * 1099511628211ULL + aEntry.index;
  return hash * 1099511628211ULL + std::hash<std::string>{}(aEntry.command);
}

bool IsSameEntry(const LogEntry& aLeft, const LogEntry& aRight)
{
  return aLeft.term == aRight.term && aLeft.index == aRight.index &&
         aLeft.command == aRight.command && aLeft.kind == aRight.kind;
}

/// Short histories then include multi-piece snapshots, log truncation and full flow control
/// windows.
RaftSettings SmallLimits()
{
  RaftSettings settings;
  settings.snapshotPieceBytes = 64;
  settings.retainedEntries = 5;
  settings.retainedBytes = 64;
  settings.maxAppendBytes = 64;
  settings.maxInFlightBytes = 100;
  return settings;
}

/// Bytes of the commands or of the piece of a snapshot in a message.
std::int64_t ContentBytes(const Message& aMessage)
{
  std::size_t bytes = 0;
  if (const auto* append = std::get_if<AppendRequest>(&aMessage)) {
    for (const LogEntry& entry : append->entries) {
      bytes += entry.command.size();
    }
  } else if (const auto* snapshot = std::get_if<SnapshotRequest>(&aMessage)) {
    bytes = snapshot->data.size();
  }
  return static_cast<std::int64_t>(bytes);
}

/// Applies a batch to what the files contain.
void WriteToDisk(PersistentState& aState, const PersistBatch& aBatch)
{
  aState.hardState = aBatch.hardState;
  if (aBatch.snapshot) {
    aState.snapshot = aBatch.snapshot;
    aState.entries.clear();
  }
  for (const LogEntry& entry : aBatch.entries) {
    while (!aState.entries.empty() && aState.entries.back().index >= entry.index) {
      aState.entries.pop_back();
    }
    aState.entries.push_back(entry);
  }
}

std::uint64_t LastIndexOf(const PersistentState& aState)
{
  if (!aState.entries.empty()) {
    return aState.entries.back().index;
  }
  return aState.snapshot ? aState.snapshot->lastIndex : 0;
}

} // namespace

FakeGroup::Disk::Disk(const Disk& aOther)
  : memberId(aOther.memberId)
  , files(std::make_unique<MemoryFileSystem>(*aOther.files))
  , state(aOther.state)
{
  if (aOther.storage) {
    this->storage = std::move(MemberStorage::Open(*this->files, "data").value());
  }
}

FakeGroup::FakeGroup(std::uint64_t aSeed, std::size_t aVoters, std::size_t aSpares)
  : FakeGroup(aSeed, aVoters, aSpares, SmallLimits())
{
  this->takesSnapshots = false;
}

FakeGroup::FakeGroup(std::uint64_t aSeed,
                     std::size_t aVoters,
                     std::size_t aSpares,
                     const RaftSettings& aSettings)
  : settings(aSettings)
  , takesSnapshots(true)
  , random(aSeed)
  , instances(aVoters + aSpares)
{
  for (Instance& instance : this->instances) {
    // The extreme rates are the most likely, because they leave the least time between the expiry
    // of a lease and the election of another leader.
    const std::int64_t rate = this->RandomBetween(-2, 2);
    instance.clockRate =
      1.0 + kMaxClockRateError * static_cast<double>(std::clamp<std::int64_t>(rate, -1, 1));
    this->maintenanceSettings.targetVoterCount = aVoters;
    this->maintenanceSettings.lostVoterTimeout = std::chrono::milliseconds(1500);
    instance.maintenance = GroupMaintenance(this->maintenanceSettings);
  }
  std::vector<ControlMember> members;
  for (std::size_t at = 0; at < aVoters; ++at) {
    this->instances[at].disk.memberId = "m" + std::to_string(this->nextIdentity++);
    this->instanceOfMember[this->instances[at].disk.memberId] = at;
    members.push_back(this->MemberOf(at));
    members.back().voter = true;
  }
  this->committedMembers = members;
  Disk& founder = this->instances[0].disk;
  this->OpenDisk(0);
  const PersistBatch founding = RaftNode::FoundingBatch(members);
  if (!founder.storage->Persist(std::span(&founding, 1))) {
    this->RecordViolation("the founding batch was not stored");
  }
  founder.storage.reset();
  for (std::size_t at = 0; at < aVoters; ++at) {
    this->Restart(at);
  }
}

ControlMember FakeGroup::MemberOf(std::size_t aInstance) const
{
  return { this->instances[aInstance].disk.memberId,
           "i" + std::to_string(aInstance),
           "127.0.0.1:" + std::to_string(aInstance + 1),
           false };
}

std::int64_t FakeGroup::RandomBetween(std::int64_t aLow, std::int64_t aHigh)
{
  return aLow +
         static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(aHigh - aLow + 1));
}

Instant FakeGroup::ClockOf(const Instance& aInstance) const
{
  return Instant{ Duration(
    static_cast<std::int64_t>(static_cast<double>(this->now) * aInstance.clockRate)) };
}

std::int64_t FakeGroup::RealTimeOf(const Instance& aInstance, Instant aLocal) const
{
  const auto real = static_cast<std::int64_t>(
    std::ceil(static_cast<double>(aLocal.time_since_epoch().count() + 1) / aInstance.clockRate));
  return std::max({ real, aInstance.frozenUntil, this->now });
}

std::int64_t FakeGroup::NextEventAt() const
{
  std::int64_t next = INT64_MAX;
  if (!this->network.empty()) {
    next = this->network.top().dueAt;
  }
  for (const Instance& instance : this->instances) {
    if (!instance.node) {
      continue;
    }
    next = std::min(next, this->RealTimeOf(instance, instance.node->NextDeadline()));
    next = std::min(next, std::max(instance.maintenanceAt, instance.frozenUntil));
    if (!instance.writes.empty()) {
      next = std::min(next, std::max(instance.writes.front().dueAt, instance.frozenUntil));
    }
  }
  return next;
}

void FakeGroup::Run(std::int64_t aMicroseconds)
{
  const std::int64_t end = this->now + aMicroseconds;
  while (!this->violation) {
    const std::int64_t next = this->NextEventAt();
    if (next > end) {
      break;
    }
    this->now = std::max(this->now, next);
    this->HandleDueEvents();
  }
  this->now = std::max(this->now, end);
}

void FakeGroup::HandleDueEvents()
{
  this->DeliverMessages();
  for (std::size_t at = 0; at < this->instances.size(); ++at) {
    Instance& instance = this->instances[at];
    if (!instance.node || this->IsFrozen(instance)) {
      continue;
    }
    this->CompleteWrites(at);
    if (this->RealTimeOf(instance, instance.node->NextDeadline()) <= this->now) {
      this->ExecuteActions(at, instance.node->OnTick(this->ClockOf(instance)));
    }
    if (instance.maintenanceAt <= this->now) {
      this->RunMaintenance(at);
    }
  }
}

void FakeGroup::DeliverMessages()
{
  while (!this->network.empty() && this->network.top().dueAt <= this->now) {
    Delivery delivery = this->network.top();
    this->network.pop();
    Instance& receiver = this->instances[delivery.to];
    if (!receiver.node || this->cutLinks.contains({ delivery.from, delivery.to }) ||
        (this->usesLinks && !this->Carries(delivery.link, delivery.from, delivery.to))) {
      continue;
    }
    if (this->IsFrozen(receiver)) {
      delivery.dueAt = receiver.frozenUntil;
      this->network.push(std::move(delivery));
      continue;
    }
    if (this->usesLinks) {
      Link& link = this->links.at(delivery.link);
      const std::size_t end = link.opener == delivery.to ? 0 : 1;
      link.unansweredSince[end].reset();
      link.receivedAt[end] = this->now;
    }
    this->ExecuteActions(delivery.to,
                         receiver.node->OnMessage(delivery.message, this->ClockOf(receiver)));
  }
}

void FakeGroup::CompleteWrites(std::size_t aInstance)
{
  Instance& instance = this->instances[aInstance];
  while (!instance.writes.empty() && instance.writes.front().dueAt <= this->now) {
    const PersistBatch batch = std::move(instance.writes.front().batch);
    instance.writes.pop_front();
    if (!instance.disk.storage->Persist(std::span(&batch, 1))) {
      this->RecordViolation("a batch was not stored");
      return;
    }
    WriteToDisk(instance.disk.state, batch);
    this->ExecuteActions(aInstance,
                         instance.node->OnPersisted(batch.sequence, this->ClockOf(instance)));
  }
}

void FakeGroup::ContinueLeave(std::size_t aInstance)
{
  Instance& instance = this->instances[aInstance];
  const RaftNode& node = *instance.node;
  if (!IsVoter(node.Log().MembersAt(node.AppliedIndex()), node.Self())) {
    this->Crash(aInstance);
    return;
  }
  auto leader = this->Leader();
  if (this->usesLinks) {
    leader.reset();
    const std::size_t known = this->InstanceOfMember(node.LeaderId());
    if (known == aInstance || this->Carries(this->FindLink(aInstance, known), aInstance, known)) {
      leader = known;
    }
  }
  if (leader && !this->cutLinks.contains({ aInstance, *leader })) {
    Instance& receiver = this->instances[*leader];
    receiver.maintenance.OnLeaveRequest(node.Self(), this->ClockOf(receiver));
  }
}

/// Instances ping each other, also if neither of them leads.
std::optional<Instant> FakeGroup::HeardAt(std::size_t aInstance, std::string_view aPeer) const
{
  for (std::size_t at = 0; at < this->instances.size(); ++at) {
    const Instance& peer = this->instances[at];
    const bool isReachable = at != aInstance && peer.node && !this->IsFrozen(peer) &&
                             !this->cutLinks.contains({ at, aInstance });
    if (isReachable && this->MemberOf(at).instance == aPeer) {
      return this->ClockOf(this->instances[aInstance]);
    }
  }
  return std::nullopt;
}

void FakeGroup::RunMaintenance(std::size_t aInstance)
{
  Instance& instance = this->instances[aInstance];
  instance.maintenanceAt = this->now + kMaintenanceIntervalUs;
  if (instance.isLeaving) {
    this->ContinueLeave(aInstance);
    if (!instance.node) {
      return;
    }
  }
  instance.maintenance.Observe(
    *instance.node,
    [this, aInstance](const std::string& aPeer) { return this->HeardAt(aInstance, aPeer); },
    this->ClockOf(instance));
  if (this->usesLinks) {
    this->RefreshLinks(aInstance);
    this->SendJoinRequestOverLinks(aInstance);
  }
  const auto leader = this->usesLinks ? std::nullopt : this->Leader();
  const bool asks = instance.maintenance.ShouldRequestJoin(*instance.node, this->ClockOf(instance));
  if (asks && leader && !this->cutLinks.contains({ aInstance, *leader })) {
    JoinRequest request;
    const ControlMember self = this->MemberOf(aInstance);
    request.memberId = instance.disk.memberId;
    request.instance.id = self.instance;
    request.instance.linkAddress = self.linkAddress;
    Instance& receiver = this->instances[*leader];
    receiver.maintenance.OnJoinRequest(request, this->ClockOf(receiver));
  }
  const Instant clock = this->ClockOf(instance);
  if (auto members = instance.maintenance.NextChange(*instance.node, clock)) {
    this->ExecuteActions(aInstance,
                         instance.node->ChangeMembers(++this->nextProposal, *members, clock));
  }
}

void FakeGroup::ExecuteActions(std::size_t aInstance, RaftActions aActions)
{
  Instance& instance = this->instances[aInstance];
  for (RaftAction& action : aActions) {
    if (auto* send = std::get_if<SendAction>(&action)) {
      this->CheckSend(aInstance, send->message);
      this->SendOverNetwork(aInstance, std::move(*send));
    } else if (auto* persist = std::get_if<PersistAction>(&action)) {
      instance.writes.push_back({ this->NextWriteDueAt(instance), std::move(persist->batch) });
    } else if (auto* apply = std::get_if<ApplyAction>(&action)) {
      this->Apply(aInstance, apply->entry);
    } else if (auto* restore = std::get_if<RestoreAction>(&action)) {
      this->Restore(aInstance, restore->snapshot);
    } else if (auto* result = std::get_if<ProposalResultAction>(&action)) {
      this->acknowledged += result->code == ResultCode::Ok ? 1 : 0;
      if (result->code == ResultCode::Ok && result->index > this->LastCommitted()) {
        this->RecordViolation("proposal acknowledged before it was committed");
      }
    } else if (auto* members = std::get_if<MembersCommittedAction>(&action)) {
      if (members->index >= this->committedMembersIndex) {
        this->committedMembersIndex = members->index;
        this->committedMembers = members->members;
      }
      if (this->usesLinks) {
        // As ConsensusDriver, which proposes the next change at once.
        instance.maintenanceAt = this->now;
      }
    } else if (std::holds_alternative<LeadershipGainedAction>(action)) {
      instance.maintenance.OnLeadershipGained(this->ClockOf(instance));
    } else if (auto* fault = std::get_if<FaultAction>(&action)) {
      this->RecordViolation(fault->reason);
    }
  }
  this->CompactIfDue(aInstance);
  this->CheckLeaders();
}

/// Batches that come during a write share the next one, as in ConsensusDriver.
std::int64_t FakeGroup::NextWriteDueAt(const Instance& aInstance)
{
  if (aInstance.writes.empty()) {
    return this->now + this->DrawWriteTime(aInstance);
  }
  const std::int64_t current = aInstance.writes.front().dueAt;
  const std::int64_t last = aInstance.writes.back().dueAt;
  return last > current ? last : current + this->DrawWriteTime(aInstance);
}

std::int64_t FakeGroup::DrawWriteTime(const Instance& aInstance)
{
  if (aInstance.writeTime) {
    return this->RandomBetween(aInstance.writeTime->first, aInstance.writeTime->second);
  }
  // Some writes take longer than the replies of other members.
  return this->random() % 10 == 0 ? this->RandomBetween(3000, 60000)
                                  : this->RandomBetween(100, 3000);
}

void FakeGroup::SendOverNetwork(std::size_t aInstance, SendAction aSend)
{
  const auto target = this->instanceOfMember.find(aSend.to);
  const bool isLost = this->lossPerMille > 0 && this->random() % 1000 < this->lossPerMille;
  // An instance has no link to itself, where an earlier member id of it may still be listed.
  if (target == this->instanceOfMember.end() || target->second == aInstance || isLost ||
      this->cutLinks.contains({ aInstance, target->second })) {
    return;
  }
  std::uint64_t link = 0;
  if (this->usesLinks) {
    link = this->FindLink(aInstance, target->second);
    if (link == 0) {
      return;
    }
    const bool expectsReply = std::holds_alternative<VoteRequest>(aSend.message) ||
                              std::holds_alternative<AppendRequest>(aSend.message) ||
                              std::holds_alternative<SnapshotRequest>(aSend.message);
    if (expectsReply) {
      this->ExpectReply(link, aInstance);
    }
  }
  // A few messages are delayed, so that newer ones overtake them.
  const std::int64_t delay =
    this->random() % 20 == 0 ? this->RandomBetween(1000, 60000) : this->RandomBetween(200, 3000);
  const auto queued = this->QueueingTime(aInstance, target->second, aSend.message);
  if (!queued) {
    return;
  }
  this->instances[target->second].contentBytesSentTo += ContentBytes(aSend.message);
  this->network.push({ this->now + this->extraDelay + *queued + delay,
                       this->nextOrder++,
                       aInstance,
                       target->second,
                       std::move(aSend.message),
                       link });
}

std::optional<std::int64_t> FakeGroup::QueueingTime(std::size_t aFrom,
                                                    std::size_t aTo,
                                                    const Message& aMessage)
{
  if (this->bytesPerSecond == 0) {
    return 0;
  }
  constexpr std::int64_t kMicroseconds = 1'000'000;
  std::int64_t& until = this->sendingUntil[{ aFrom, aTo }];
  until = std::max(until, this->now);
  if ((until - this->now) * this->bytesPerSecond / kMicroseconds > kMaxQueuedBytes) {
    return std::nullopt;
  }
  until += ContentBytes(aMessage) * kMicroseconds / this->bytesPerSecond;
  return until - this->now;
}

/// As ConsensusDriver::CompactIfDue().
void FakeGroup::CompactIfDue(std::size_t aInstance)
{
  Instance& instance = this->instances[aInstance];
  if (this->takesSnapshots && instance.node && instance.snapshotPolicy.IsDue(*instance.node)) {
    instance.snapshotPolicy.OnSnapshot();
    this->Compact(aInstance);
  }
}

/// A member must not confirm anything to another member before it is on its own disk.
void FakeGroup::CheckSend(std::size_t aInstance, const Message& aMessage)
{
  const PersistentState& disk = this->instances[aInstance].disk.state;
  if (const auto* vote = std::get_if<VoteReply>(&aMessage)) {
    if (vote->granted && !vote->preVote &&
        (disk.hardState.term < vote->term || disk.hardState.vote.empty())) {
      this->RecordViolation("vote sent before it was durable");
    }
  } else if (const auto* append = std::get_if<AppendReply>(&aMessage)) {
    if (append->success && append->matchIndex > LastIndexOf(disk) &&
        append->term == disk.hardState.term) {
      this->RecordViolation("entries confirmed before they were durable");
    }
  } else if (const auto* snapshot = std::get_if<SnapshotReply>(&aMessage)) {
    if (snapshot->installed && snapshot->lastIndex > LastIndexOf(disk)) {
      this->RecordViolation("snapshot confirmed before it was durable");
    }
  }
}

void FakeGroup::Apply(std::size_t aInstance, const LogEntry& aEntry)
{
  Instance& instance = this->instances[aInstance];
  if (aEntry.index != instance.appliedIndex + 1) {
    this->RecordViolation("applied index did not increase by one");
    return;
  }
  if (aEntry.index > this->committed.size()) {
    this->committed.push_back(aEntry);
    this->committedInTerm.push_back(instance.node->Term());
    this->hashes.push_back(ExtendHash(this->hashes.back(), aEntry));
  } else if (!IsSameEntry(this->committed[aEntry.index - 1], aEntry)) {
    this->RecordViolation("committed entry " + std::to_string(aEntry.index) + " changed");
  }
  instance.appliedIndex = aEntry.index;
  instance.snapshotPolicy.OnApplied(aEntry);
  instance.appliedHash = ExtendHash(instance.appliedHash, aEntry);
  if (instance.appliedHash != this->hashes[aEntry.index]) {
    this->RecordViolation("applied state differs at " + std::to_string(aEntry.index));
  }
}

void FakeGroup::Restore(std::size_t aInstance, const RaftSnapshot& aSnapshot)
{
  Instance& instance = this->instances[aInstance];
  const auto content = DecodeSnapshotContent(*aSnapshot.content);
  if (!content || aSnapshot.lastIndex <= instance.appliedIndex ||
      aSnapshot.lastIndex >= this->hashes.size()) {
    this->RecordViolation("snapshot at " + std::to_string(aSnapshot.lastIndex) +
                          " moves backwards");
    return;
  }
  instance.appliedIndex = aSnapshot.lastIndex;
  instance.snapshotPolicy.OnSnapshot();
  instance.appliedHash = std::stoull(std::string(content.value().state));
  if (instance.appliedHash != this->hashes[aSnapshot.lastIndex]) {
    this->RecordViolation("snapshot differs at " + std::to_string(aSnapshot.lastIndex));
  }
}

void FakeGroup::CheckLeaders()
{
  int leaseHolders = 0;
  for (std::size_t at = 0; at < this->instances.size(); ++at) {
    const Instance& instance = this->instances[at];
    if (!instance.node || instance.node->Role() != RaftRole::Leader) {
      continue;
    }
    leaseHolders += instance.node->HasLeaderLease(this->ClockOf(instance)) ? 1 : 0;
    const auto [known, isNew] =
      this->leaderOfTerm.try_emplace(instance.node->Term(), instance.disk.memberId);
    if (known->second != instance.disk.memberId) {
      this->RecordViolation("two leaders in term " + std::to_string(instance.node->Term()));
    }
    if (isNew) {
      this->CheckLeaderLog(at);
    }
  }
  if (leaseHolders > 1) {
    this->RecordViolation("two members hold a leader lease");
  }
}

/// A new leader must have every entry that was committed in an earlier term. It may lack entries of
/// the same or a higher term: a member that receives its votes late can become leader after a
/// leader of a higher term has committed entries, but then it cannot commit any itself.
void FakeGroup::CheckLeaderLog(std::size_t aInstance)
{
  const RaftLog& log = this->instances[aInstance].node->Log();
  for (std::uint64_t index = log.BaseIndex() + 1; index <= this->committed.size(); ++index) {
    if (this->committedInTerm[index - 1] >= this->instances[aInstance].node->Term()) {
      return;
    }
    if (index > log.LastIndex() || !IsSameEntry(log.EntryAt(index), this->committed[index - 1])) {
      this->RecordViolation("a new leader lacks committed entry " + std::to_string(index));
      return;
    }
  }
}

void FakeGroup::RecordViolation(const std::string& aWhat)
{
  if (!this->violation) {
    this->violation = aWhat + " at " + std::to_string(this->now) + " us";
  }
}

void FakeGroup::OpenDisk(std::size_t aInstance)
{
  Disk& disk = this->instances[aInstance].disk;
  while (!disk.storage) {
    const bool isInterrupted = this->random() % 2 == 0;
    if (isInterrupted) {
      disk.files->firstFailingOperation = this->RandomBetween(1, kMaxOperationsBeforeCrash);
    }
    auto opened = MemberStorage::Open(*disk.files, "data");
    if (opened) {
      disk.storage = std::move(opened.value());
      break;
    }
    if (!isInterrupted || opened.error().code == ResultCode::StorageCorrupt) {
      this->RecordViolation("the data folder cannot be opened: " + opened.error().message);
      return;
    }
    this->EndProcess(disk);
  }
  disk.files->RestartProcess();
  disk.state = disk.storage->TakeLoadedState();
}

void FakeGroup::EndProcess(Disk& aDisk)
{
  aDisk.storage.reset();
  if (this->random() % 2 == 0) {
    aDisk.files->Crash(this->random);
  }
  aDisk.files->RestartProcess();
}

void FakeGroup::Crash(std::size_t aInstance)
{
  Instance& instance = this->instances[aInstance];
  if (!instance.node) {
    return;
  }
  instance.disk.files->RestartProcess();
  // Mostly one of the first operations, so that often no pending write is complete.
  instance.disk.files->firstFailingOperation =
    this->RandomBetween(1, this->RandomBetween(1, kMaxOperationsBeforeCrash));
  while (!instance.writes.empty() &&
         instance.disk.storage->Persist(std::span(&instance.writes.front().batch, 1))) {
    WriteToDisk(instance.disk.state, instance.writes.front().batch);
    instance.writes.pop_front();
  }
  instance.writes.clear();
  this->EndProcess(instance.disk);
  instance.node.reset();
  this->DropLinksOf(aInstance);
  instance.frozenUntil = 0;
}

void FakeGroup::Restart(std::size_t aInstance)
{
  Instance& instance = this->instances[aInstance];
  if (instance.node) {
    return;
  }
  if (instance.disk.memberId.empty()) {
    instance.disk.memberId = "m" + std::to_string(this->nextIdentity++);
    this->instanceOfMember[instance.disk.memberId] = aInstance;
  }
  this->OpenDisk(aInstance);
  if (this->violation) {
    return;
  }
  instance.appliedIndex = 0;
  instance.appliedHash = 0;
  instance.snapshotPolicy.OnSnapshot();
  instance.isLeaving = false;
  instance.maintenanceAt = this->now;
  instance.joinRequestedAt = 0;
  if (this->usesLinks) {
    instance.maintenance = GroupMaintenance(this->maintenanceSettings);
  }
  instance.node.emplace(instance.disk.memberId,
                        this->settings,
                        instance.disk.state,
                        std::mt19937_64(this->random()),
                        this->ClockOf(instance));
  this->ExecuteActions(aInstance, instance.node->Start());
}

void FakeGroup::LoseDisk(std::size_t aInstance)
{
  this->Crash(aInstance);
  this->instances[aInstance].disk = {};
}

void FakeGroup::Cut(std::size_t aLeft, std::size_t aRight)
{
  this->cutLinks.insert({ aLeft, aRight });
  this->cutLinks.insert({ aRight, aLeft });
}

void FakeGroup::Isolate(std::size_t aInstance)
{
  for (std::size_t other = 0; other < this->instances.size(); ++other) {
    if (other != aInstance) {
      this->Cut(aInstance, other);
    }
  }
}

void FakeGroup::HealNetwork()
{
  this->cutLinks.clear();
}

void FakeGroup::Freeze(std::size_t aInstance, std::int64_t aMicroseconds)
{
  if (this->instances[aInstance].node) {
    this->instances[aInstance].frozenUntil = this->now + aMicroseconds;
  }
}

std::optional<std::size_t> FakeGroup::Leader() const
{
  std::optional<std::size_t> found;
  for (std::size_t at = 0; at < this->instances.size(); ++at) {
    const auto& node = this->instances[at].node;
    if (!node || node->Role() != RaftRole::Leader) {
      continue;
    }
    if (!found || node->Term() > this->instances[*found].node->Term()) {
      found = at;
    }
  }
  return found;
}

RaftNode* FakeGroup::Node(std::size_t aInstance)
{
  auto& node = this->instances[aInstance].node;
  return node ? &*node : nullptr;
}

std::uint64_t FakeGroup::AppliedIndexOf(std::size_t aInstance) const
{
  return this->instances[aInstance].appliedIndex;
}

std::size_t FakeGroup::Propose(std::size_t aCount, std::size_t aBytes)
{
  const auto leader = this->Leader();
  if (!leader || this->IsFrozen(this->instances[*leader])) {
    return 0;
  }
  Instance& instance = this->instances[*leader];
  for (std::size_t at = 0; at < aCount; ++at) {
    const std::uint64_t proposal = ++this->nextProposal;
    std::string command = "command " + std::to_string(proposal);
    command.resize(std::max(command.size(), aBytes), '.');
    this->ExecuteActions(
      *leader, instance.node->Propose(proposal, std::move(command), this->ClockOf(instance)));
  }
  return aCount;
}

void FakeGroup::Compact(std::size_t aInstance)
{
  Instance& instance = this->instances[aInstance];
  if (instance.node && !this->IsFrozen(instance)) {
    std::string state = std::to_string(instance.appliedHash);
    state.resize(std::max(state.size(), this->stateBytes), ' ');
    this->ExecuteActions(aInstance, instance.node->Compact(state));
  }
}

bool FakeGroup::HasLiveMajority(const std::vector<ControlMember>& aMembers) const
{
  return HoldsForMajority(aMembers, [this](const ControlMember& aMember) {
    const auto found = this->instanceOfMember.find(aMember.id);
    return found != this->instanceOfMember.end() &&
           this->instances[found->second].disk.memberId == aMember.id;
  });
}

int FakeGroup::BearableDiskLosses(const std::vector<ControlMember>& aMembers) const
{
  int bearable = INT_MAX;
  for (const ReplacementPart excluded : { ReplacementPart::Incoming, ReplacementPart::Outgoing }) {
    int voters = 0;
    int live = 0;
    for (const ControlMember& member : aMembers) {
      if (!member.voter || member.replacement == excluded) {
        continue;
      }
      ++voters;
      live += this->instances[this->InstanceOfMember(member.id)].disk.memberId == member.id ? 1 : 0;
    }
    bearable = std::min(bearable, live - (voters / 2 + 1));
  }
  return bearable;
}

int FakeGroup::BearableDiskLosses() const
{
  int bearable = this->BearableDiskLosses(this->committedMembers);
  for (const Instance& instance : this->instances) {
    if (instance.node && instance.node->Log().MembersIndex() > this->committedMembersIndex) {
      bearable = std::min(bearable, this->BearableDiskLosses(instance.node->Members()));
    }
  }
  return bearable;
}

std::uint64_t FakeGroup::NewestMembersIndex() const
{
  std::uint64_t newest = 0;
  for (const Instance& instance : this->instances) {
    newest = std::max(newest, instance.node ? instance.node->Log().MembersIndex() : 0);
  }
  return newest;
}

bool FakeGroup::HasConfirmedLeader() const
{
  return std::ranges::any_of(this->instances, [this](const Instance& aInstance) {
    return aInstance.node && !this->IsFrozen(aInstance) &&
           aInstance.node->HasLeaderLease(this->ClockOf(aInstance));
  });
}

std::string FakeGroup::DescribeMembers() const
{
  const auto format = [this](const std::vector<ControlMember>& aMembers) {
    std::string text;
    for (const ControlMember& member : aMembers) {
      const bool isLost =
        this->instances[this->InstanceOfMember(member.id)].disk.memberId != member.id;
      text += (text.empty() ? "" : ",") + member.instance + "(" + member.id + ")" +
              (member.voter ? ":voter" : ":learner") + (isLost ? "!lost" : "");
      if (member.replacement != ReplacementPart::None) {
        text += member.replacement == ReplacementPart::Incoming ? "/incoming" : "/outgoing";
      }
    }
    return text;
  };
  std::string text = "committed " + format(this->committedMembers);
  for (std::size_t at = 0; at < this->instances.size(); ++at) {
    const auto& node = this->instances[at].node;
    if (node) {
      text += "\n  i" + std::to_string(at) + " role " +
              std::to_string(static_cast<int>(node->Role())) + " term " +
              std::to_string(node->Term()) + " last " + std::to_string(node->Log().LastIndex()) +
              " commit " + std::to_string(node->CommitIndex()) + ": " + format(node->Members());
    }
  }
  return text;
}

// --- Links --------------------------------------------------------------------------------------

namespace {

/// As MemberLinks and LinkConnection.
constexpr std::int64_t kReplyTimeoutUs = 2000 * FakeGroup::kMillisecond;
constexpr std::int64_t kHelloTimeoutUs = 3000 * FakeGroup::kMillisecond;
constexpr std::int64_t kJoinRequestIntervalUs = 300 * FakeGroup::kMillisecond;
/// Time after which the opening packet of a connection is sent again.
constexpr std::int64_t kConnectRetryUs = 1000 * FakeGroup::kMillisecond;

} // namespace

void FakeGroup::UseLinks(std::size_t aTargetVoters)
{
  this->usesLinks = true;
  this->maintenanceSettings.targetVoterCount = aTargetVoters;
  for (Instance& instance : this->instances) {
    instance.maintenance = GroupMaintenance(this->maintenanceSettings);
  }
}

void FakeGroup::SilenceLinks()
{
  for (auto& [id, link] : this->links) {
    link.isSilent = link.isSilent || link.isReady;
  }
}

/// The instance of a member id; the number of instances if it is unknown.
std::size_t FakeGroup::InstanceOfMember(const std::string& aMember) const
{
  const auto found = this->instanceOfMember.find(aMember);
  return found == this->instanceOfMember.end() ? this->instances.size() : found->second;
}

/// As ConsensusDriver::KnownAddresses().
std::set<std::size_t> FakeGroup::KnownInstances(std::size_t aInstance) const
{
  const Instance& instance = this->instances[aInstance];
  const std::vector<ControlMember>& members = instance.node->Members();
  std::set<std::size_t> known;
  for (const ControlMember& member : members) {
    known.insert(this->InstanceOfMember(member.id));
  }
  const bool isMember = std::ranges::any_of(members, [&instance](const ControlMember& aMember) {
    return aMember.id == instance.node->Self();
  });
  if (!isMember || !instance.node->HasCurrentLeader(this->ClockOf(instance))) {
    known.insert(instance.seeds.begin(), instance.seeds.end());
  }
  known.erase(aInstance);
  return known;
}

void FakeGroup::CloseLinkAt(Link& aLink, std::size_t aInstance)
{
  const std::size_t end = aLink.opener == aInstance ? 0 : 1;
  const std::size_t peer = end == 0 ? aLink.target : aLink.opener;
  aLink.isOpen[end] = false;
  if (!aLink.isSilent && !this->cutLinks.contains({ aInstance, peer })) {
    aLink.isOpen[1 - end] = false;
  }
}

void FakeGroup::ConnectLink(Link& aLink)
{
  const bool isReachable = this->instances[aLink.opener].node &&
                           this->instances[aLink.target].node &&
                           !this->cutLinks.contains({ aLink.opener, aLink.target }) &&
                           !this->cutLinks.contains({ aLink.target, aLink.opener });
  if (isReachable) {
    aLink.isReady = true;
    aLink.receivedAt = { this->now, this->now };
    aLink.isOpen = { true, true };
  }
}

void FakeGroup::ExpectReply(std::uint64_t aLink, std::size_t aInstance)
{
  Link& link = this->links.at(aLink);
  auto& since = link.unansweredSince[link.opener == aInstance ? 0 : 1];
  since = since.value_or(this->now);
}

void FakeGroup::CloseSilentLinks(std::size_t aInstance)
{
  const auto endOf = [aInstance](const Link& aLink) {
    return aLink.opener == aInstance ? std::size_t{ 0 } : std::size_t{ 1 };
  };
  for (const auto& [id, unanswered] : this->links) {
    const bool isOwn = unanswered.opener == aInstance || unanswered.target == aInstance;
    const auto since = unanswered.unansweredSince[endOf(unanswered)];
    if (!isOwn || !unanswered.isOpen[endOf(unanswered)] || !since ||
        this->now - *since <= kReplyTimeoutUs) {
      continue;
    }
    for (auto& [other, link] : this->links) {
      const bool isOwnLink = link.opener == aInstance || link.target == aInstance;
      if (isOwnLink && link.isReady && (other == id || link.receivedAt[endOf(link)] <= *since)) {
        this->CloseLinkAt(link, aInstance);
      }
    }
  }
}

void FakeGroup::RefreshLinks(std::size_t aInstance)
{
  this->CloseSilentLinks(aInstance);
  std::erase_if(this->links, [](const auto& aEntry) {
    return !aEntry.second.isOpen[0] && !aEntry.second.isOpen[1];
  });
  std::set<std::size_t> linked;
  for (auto& [id, link] : this->links) {
    if (link.opener != aInstance && link.target != aInstance) {
      continue;
    }
    const std::size_t end = link.opener == aInstance ? 0 : 1;
    if (!link.isOpen[end]) {
      continue;
    }
    const std::int64_t age = this->now - link.openedAt;
    if (!link.isReady && age >= kConnectRetryUs && age < kConnectRetryUs + kMaintenanceIntervalUs) {
      this->ConnectLink(link);
    }
    const bool isHanging = !link.isReady && age > kHelloTimeoutUs;
    if (isHanging) {
      this->CloseLinkAt(link, aInstance);
      continue;
    }
    linked.insert(end == 0 ? link.target : link.opener);
  }
  for (const std::size_t known : this->KnownInstances(aInstance)) {
    if (known >= this->instances.size() || linked.contains(known)) {
      continue;
    }
    Link link{ aInstance, known, this->now };
    this->ConnectLink(link);
    this->links.emplace(this->nextLink++, link);
  }
}

void FakeGroup::DropLinksOf(std::size_t aInstance)
{
  // After a loss of power the other end learns nothing; after a kill the connection is closed.
  const bool losesPower = this->usesLinks && this->random() % 2 == 0;
  for (auto& [id, link] : this->links) {
    if (link.opener != aInstance && link.target != aInstance) {
      continue;
    }
    if (losesPower) {
      link.isOpen[link.opener == aInstance ? 0 : 1] = false;
    } else {
      this->CloseLinkAt(link, aInstance);
    }
  }
}

std::uint64_t FakeGroup::FindLink(std::size_t aFrom, std::size_t aTo) const
{
  std::uint64_t found = 0;
  std::int64_t heardAt = -1;
  for (const auto& [id, link] : this->links) {
    const bool isOutward = link.opener == aFrom && link.target == aTo;
    const bool isInward = link.opener == aTo && link.target == aFrom;
    const std::size_t end = isOutward ? 0 : 1;
    if ((isOutward || isInward) && link.isReady && link.isOpen[end] &&
        link.receivedAt[end] >= heardAt) {
      found = id;
      heardAt = link.receivedAt[end];
    }
  }
  return found;
}

bool FakeGroup::Carries(std::uint64_t aLink, std::size_t aFrom, std::size_t aTo)
{
  const auto found = this->links.find(aLink);
  if (found == this->links.end() || found->second.isSilent ||
      this->cutLinks.contains({ aFrom, aTo }) || !this->instances[aTo].node) {
    return false;
  }
  Link& link = found->second;
  const std::size_t receiving = link.opener == aTo ? 0 : 1;
  if (!link.isOpen[receiving]) {
    // The receiver resets a connection that it does not know.
    link.isOpen[1 - receiving] = false;
    return false;
  }
  return true;
}

/// As ConsensusDriver::SendJoinRequest() and HandleJoinRequest(), without a delay.
void FakeGroup::SendJoinRequestOverLinks(std::size_t aInstance)
{
  Instance& instance = this->instances[aInstance];
  const bool asks = instance.maintenance.ShouldRequestJoin(*instance.node, this->ClockOf(instance));
  if (!asks || instance.isLeaving ||
      this->now - instance.joinRequestedAt < kJoinRequestIntervalUs) {
    return;
  }
  instance.joinRequestedAt = this->now;
  const ControlMember self = this->MemberOf(aInstance);
  JoinRequest request;
  request.memberId = self.id;
  request.instance.id = self.instance;
  request.instance.linkAddress = self.linkAddress;
  for (std::size_t at = 0; at < this->instances.size(); ++at) {
    Instance& receiver = this->instances[at];
    const std::uint64_t link = this->FindLink(aInstance, at);
    if (at != aInstance && link != 0) {
      this->ExpectReply(link, aInstance);
    }
    if (at == aInstance || !receiver.node || this->IsFrozen(receiver) ||
        !this->Carries(link, aInstance, at)) {
      continue;
    }
    Link& carrying = this->links.at(link);
    const std::size_t end = carrying.opener == at ? 0 : 1;
    carrying.unansweredSince[end].reset();
    carrying.receivedAt[end] = this->now;
    std::size_t leader = at;
    if (receiver.node->Role() != RaftRole::Leader) {
      leader = this->InstanceOfMember(receiver.node->LeaderId());
      if (leader >= this->instances.size() || leader == at || !this->instances[leader].node ||
          this->IsFrozen(this->instances[leader]) ||
          this->instances[leader].node->Role() != RaftRole::Leader ||
          !this->Carries(this->FindLink(at, leader), at, leader)) {
        continue;
      }
    }
    Instance& leading = this->instances[leader];
    leading.maintenance.OnJoinRequest(request, this->ClockOf(leading));
  }
}

bool FakeGroup::CanHaveQuorum() const
{
  if (!this->HasLiveMajority(this->committedMembers)) {
    return false;
  }
  return std::ranges::all_of(this->instances, [this](const Instance& aInstance) {
    return !aInstance.node || aInstance.node->Members().empty() ||
           this->HasLiveMajority(aInstance.node->Members());
  });
}

} // namespace oleanderledge
