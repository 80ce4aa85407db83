#include "tests/control/ControlHarness.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

constexpr Duration kStepDuration = std::chrono::milliseconds(10);
constexpr std::uint64_t kStepsPerTick = 2;
constexpr std::uint64_t kStepsPerHeartbeat = 20;
constexpr Duration kCallDelay = std::chrono::milliseconds(10);

} // namespace

ControlHarness::ControlHarness(std::size_t aMembers)
{
  for (std::size_t i = 0; i < aMembers; ++i) {
    this->members.push_back(std::make_unique<ControlLeader>(this->state, ControlTimings{}));
  }
  for (const char* name : { "a", "b", "c" }) {
    FakeSlot slot;
    slot.name = name;
    slot.zone = std::string("region/") + name;
    slot.isPrimary = slot.name == "a";
    this->slots[name] = slot;
  }
  this->AddProxy("p1", "region/a");
  this->AddProxy("p2", "region/b");
  this->leader = aMembers;
  this->ElectLeader();
}

void ControlHarness::AddProxy(const std::string& aId, const std::string& aZone)
{
  FakeProxy proxy;
  proxy.instance = { aId, 1, InstanceRole::Proxy, aZone, "link-" + aId, "http-" + aId, false };
  this->proxies[aId] = proxy;
}

void ControlHarness::RestartProxy(const std::string& aId)
{
  InstanceInfo instance = this->proxies.at(aId).instance;
  // The lease of the old process is in use until it expires, so that process stays as a separate
  // entry.
  FakeProxy old = this->proxies.at(aId);
  old.alive = false;
  this->proxies[aId + "-" + std::to_string(instance.incarnation)] = std::move(old);
  ++instance.incarnation;
  instance.leaving = false;
  this->proxies[aId] = FakeProxy{};
  this->proxies[aId].instance = instance;
}

void ControlHarness::Run(Duration aDuration)
{
  const Instant end = this->now + aDuration;
  while (this->now < end) {
    this->Step();
  }
}

bool ControlHarness::RunUntil(const std::function<bool()>& aCondition, Duration aLimit)
{
  const Instant end = this->now + aLimit;
  while (!aCondition()) {
    if (this->now >= end) {
      return false;
    }
    this->Step();
  }
  return true;
}

void ControlHarness::RunUntilSteady()
{
  if (!this->RunUntil([this] {
        return this->state.Databases().Find("orders") != nullptr && this->OwnerHasLease() &&
               this->Row().phase == FailoverPhase::Steady &&
               this->Row().inSync.size() == this->Row().slots.size();
      })) {
    this->violations.emplace_back("the database did not become steady");
  }
}

void ControlHarness::LoseLeader(bool aKeepProposals)
{
  if (!this->HasLeader()) {
    return;
  }
  this->lastLeader = this->leader;
  this->Leader().OnLeadershipLost();
  this->leader = this->members.size();
  const std::deque<Proposal> open = std::exchange(this->proposals, {});
  for (const Proposal& proposal : open) {
    if (aKeepProposals) {
      this->Commit(proposal);
    }
    ControlActions actions;
    this->members[proposal.member]->OnProposalDone(proposal.key, false, this->now, actions);
  }
}

void ControlHarness::ElectLeader()
{
  if (this->HasLeader()) {
    return;
  }
  this->leader = (this->lastLeader + 1) % this->members.size();
  ControlActions actions;
  this->Leader().OnLeadershipGained(this->now, actions);
  this->Execute(this->leader, actions);
}

bool ControlHarness::IsSteadyWith(const std::string& aPrimary) const
{
  return this->Row().phase == FailoverPhase::Steady && this->Row().primary == aPrimary &&
         this->OwnerHasLease();
}

bool ControlHarness::OwnerHasLease() const
{
  const auto found = this->proxies.find(this->Row().owner);
  if (found == this->proxies.end()) {
    return false;
  }
  const HeldLease& lease = found->second.lease;
  return lease.end > this->now && lease.epoch == this->Row().ownerEpoch &&
         lease.term == this->Row().term;
}

std::vector<std::string> ControlHarness::LinesOf(LogEvent aEvent) const
{
  std::vector<std::string> details;
  for (const LogAction& line : this->lines) {
    if (line.event == aEvent) {
      details.push_back(line.detail);
    }
  }
  return details;
}

std::vector<FailoverDurations> ControlHarness::Failovers() const
{
  std::vector<FailoverDurations> found;
  for (const LogAction& line : this->lines) {
    if (line.event == LogEvent::FailoverCompleted && line.failover) {
      found.push_back(*line.failover);
    }
  }
  return found;
}

void ControlHarness::Step()
{
  this->now += kStepDuration;
  ++this->steps;
  std::vector<Event> due;
  std::erase_if(this->events, [this, &due](Event& aEvent) {
    if (aEvent.due > this->now) {
      return false;
    }
    due.push_back(std::move(aEvent));
    return true;
  });
  for (const Event& event : due) {
    event.action();
    this->CheckLeases();
  }
  this->Replicate();
  std::uint64_t offset = 0;
  for (auto& [name, slot] : this->slots) {
    slot.aliveUntil = slot.alive ? this->now : slot.aliveUntil;
    if (slot.alive && slot.announces && (this->steps + offset++ * 3) % kStepsPerHeartbeat == 0) {
      this->Announce(slot);
    }
  }
  for (auto& [id, proxy] : this->proxies) {
    if (proxy.alive && (this->steps + offset++ * 3) % kStepsPerHeartbeat == 0) {
      this->SendHeartbeat(proxy);
    }
    if (proxy.alive && proxy.connected && proxy.followsDirectory) {
      proxy.directory.Apply(this->state.ChangesSince(proxy.directory.Version()));
    }
    if (this->writes && proxy.alive) {
      this->WriteOnce(proxy);
    }
  }
  if (this->steps % kStepsPerTick == 0) {
    for (std::size_t i = 0; i < this->members.size(); ++i) {
      ControlActions actions;
      this->members[i]->OnTick(this->now, actions);
      this->Execute(i, actions);
    }
  }
  this->CommitAll();
  this->CheckLeases();
}

void ControlHarness::Schedule(Duration aDelay, std::function<void()> aAction)
{
  this->events.push_back({ this->now + aDelay, std::move(aAction) });
}

void ControlHarness::CommitAll()
{
  while (!this->commitsPaused && !this->proposals.empty()) {
    const Proposal proposal = std::move(this->proposals.front());
    this->proposals.pop_front();
    this->Commit(proposal);
    ControlActions actions;
    this->members[proposal.member]->OnProposalDone(proposal.key, true, this->now, actions);
    this->Execute(proposal.member, actions);
  }
}

void ControlHarness::Commit(const Proposal& aProposal)
{
  const DatabaseRecord* found = this->state.Databases().Find("orders");
  const DatabaseRecord before = found == nullptr ? DatabaseRecord{} : *found;
  this->state.Apply(++this->index, EncodeCommand(aProposal.command));
  const auto* decision = std::get_if<DecidePromotion>(&aProposal.command);
  if (decision != nullptr && this->Row().term == decision->term) {
    this->CheckDecision(*decision, before);
  }
  if (this->onCommitted && DatabaseOf(aProposal.command) == "orders") {
    this->onCommitted();
  }
}

void ControlHarness::CheckDecision(const DecidePromotion& aDecision, const DatabaseRecord& aBefore)
{
  if (aBefore.row.term == this->Row().term) {
    return;
  }
  if (!IsInSync(aBefore.row, aDecision.slot)) {
    this->violations.push_back("promoted from outside the in-sync set: " + aDecision.slot);
  }
  for (const auto& [term, slot] : this->promotions) {
    if (term >= aDecision.term) {
      this->violations.push_back("term decided again: " + std::to_string(aDecision.term));
    }
  }
  this->promotions.emplace_back(aDecision.term, aDecision.slot);
}

void ControlHarness::Execute(std::size_t aMember, const ControlActions& aActions)
{
  for (const ControlAction& action : aActions) {
    if (const auto* propose = std::get_if<ProposeAction>(&action)) {
      if (aMember == this->leader) {
        this->proposals.push_back({ aMember, propose->key, propose->command });
      }
    } else if (const auto* line = std::get_if<LogAction>(&action)) {
      this->lines.push_back(*line);
    } else if (const auto* push = std::get_if<PushReplyAction>(&action)) {
      const HeartbeatReply reply = push->reply;
      this->Schedule(this->heartbeatDelay, [this, reply] {
        this->DeliverReply(reply.instance, reply, FromMicroseconds(reply.sentUs));
      });
    } else {
      const auto* promote = std::get_if<PromoteSlotAction>(&action);
      const auto* query = std::get_if<QueryStatusAction>(&action);
      const std::string name = promote != nullptr ? promote->slot : query->slot;
      const std::uint64_t term = promote != nullptr ? promote->term : 0;
      this->Schedule(kCallDelay, [this, aMember, name, term] {
        FakeSlot& slot = this->slots.at(name);
        ControlActions actions;
        if (!slot.alive || !slot.answersCalls) {
          this->members[aMember]->OnBackendAnswer(
            "orders", name, Fail(ResultCode::BackendConnectionLost, "silent"), this->now, actions);
        } else {
          if (term > slot.term) {
            slot.isPrimary = true;
            slot.term = term;
            if (slot.received < this->acknowledged) {
              this->violations.push_back("acknowledged writes are lost: " + name);
            }
          }
          const PlatformStatus status{ slot.isPrimary, slot.term, slot.received, slot.received };
          this->members[aMember]->OnBackendAnswer("orders", name, status, this->now, actions);
        }
        this->Execute(aMember, actions);
      });
    }
  }
}

void ControlHarness::Announce(FakeSlot& aSlot)
{
  Announcement announcement;
  announcement.service = "ledger";
  announcement.database = "orders";
  announcement.slot = aSlot.name;
  announcement.zone = aSlot.zone;
  announcement.address = "address-" + aSlot.name;
  announcement.isPrimary = aSlot.isPrimary;
  announcement.term = aSlot.term;
  announcement.received = aSlot.received;
  announcement.applied = aSlot.received;
  announcement.connectionLimit = 25;
  announcement.departing = aSlot.departing;
  announcement.incarnation = aSlot.incarnation;
  announcement.sequence = ++aSlot.sequence;
  for (std::size_t i = 0; i < this->members.size(); ++i) {
    ControlActions actions;
    this->members[i]->OnAnnouncement(announcement, this->now, actions);
    this->Execute(i, actions);
  }
}

void ControlHarness::SendHeartbeat(FakeProxy& aProxy)
{
  Heartbeat heartbeat;
  heartbeat.instance = aProxy.instance;
  heartbeat.sequence = ++aProxy.sequence;
  heartbeat.sentUs = ToMicroseconds(this->now);
  heartbeat.directoryVersion = aProxy.directory.Version();
  const DatabaseRow* row = aProxy.directory.FindDatabase("orders");
  if (row != nullptr && row->owner == aProxy.instance.id &&
      row->ownerIncarnation == aProxy.instance.incarnation) {
    heartbeat.owned.push_back(this->MakeOwnerReport(aProxy, *row));
  }
  if (!aProxy.connected) {
    return;
  }
  const Duration delay = this->heartbeatDelay;
  this->Schedule(delay, [this, heartbeat, delay] {
    if (!this->HasLeader()) {
      return;
    }
    ControlActions actions;
    const HeartbeatReply reply = this->Leader().OnHeartbeat(heartbeat, true, this->now, actions);
    this->Execute(this->leader, actions);
    this->Schedule(delay, [this, reply] {
      this->DeliverReply(reply.instance, reply, FromMicroseconds(reply.sentUs));
    });
  });
}

OwnerReport ControlHarness::MakeOwnerReport(FakeProxy& aProxy, const DatabaseRow& aRow)
{
  OwnerReport report;
  report.database = aRow.name;
  report.epoch = aRow.ownerEpoch;
  report.term = aRow.term;
  report.released = aProxy.releasedEpoch >= aRow.ownerEpoch;
  report.drained = aRow.phase == FailoverPhase::Draining || aProxy.claimsDrained;
  aProxy.drainedTerm = report.drained ? aRow.term : aProxy.drainedTerm;
  if (aRow.phase == FailoverPhase::Steady && aProxy.drainedTerm == aRow.term) {
    aProxy.drainedTerm = 0; // The planned change was abandoned.
  }
  for (const SlotRow& row : aRow.slots) {
    const FakeSlot& slot = this->slots.at(row.name);
    Instant& reachedAt = aProxy.reachedAt[row.name];
    const bool isReached =
      slot.alive && slot.answersCalls && !aProxy.unreachable.contains(row.name);
    if (isReached || reachedAt == Instant{}) {
      reachedAt = this->now;
    }
    const auto silent =
      std::chrono::duration_cast<std::chrono::milliseconds>(this->now - reachedAt);
    report.slots.push_back({ row.name,
                             isReached,
                             slot.isPrimary,
                             slot.term,
                             slot.received,
                             slot.received,
                             silent.count() });
    if (row.name == aRow.primary) {
      report.drainedOffset = slot.received;
    }
  }
  this->ProposeInSync(aProxy, aRow, report);
  return report;
}

void ControlHarness::ProposeInSync(FakeProxy& aProxy, const DatabaseRow& aRow, OwnerReport& aReport)
{
  const bool holdsLease = aProxy.lease.end > this->now && aProxy.lease.epoch == aRow.ownerEpoch &&
                          aProxy.lease.term == aRow.term;
  if (!holdsLease || aRow.phase != FailoverPhase::Steady || !FindSlot(aRow, aRow.primary)) {
    return;
  }
  const FakeSlot& primary = this->slots.at(aRow.primary);
  if (!primary.alive || aProxy.unreachable.contains(aRow.primary)) {
    return;
  }
  std::erase_if(aProxy.proposed,
                [&aRow](const std::string& aSlot) { return IsInSync(aRow, aSlot); });
  std::set<std::string> members;
  for (const SlotRow& row : aRow.slots) {
    const FakeSlot& slot = this->slots.at(row.name);
    const bool isCurrent =
      slot.alive && slot.term == aRow.term && slot.received >= this->acknowledged;
    if (row.name == aRow.primary || isCurrent || aProxy.proposed.contains(row.name)) {
      members.insert(row.name);
    }
  }
  if (members != std::set<std::string>(aRow.inSync.begin(), aRow.inSync.end())) {
    // Acknowledgements wait for the proposed slots from now on, because the proposal may be
    // committed at any time.
    for (const std::string& member : members) {
      if (!IsInSync(aRow, member)) {
        aProxy.proposed.insert(member);
      }
    }
    aReport.proposedInSync.assign(members.begin(), members.end());
  }
}

void ControlHarness::DeliverReply(const std::string& aProxy,
                                  const HeartbeatReply& aReply,
                                  Instant aSent)
{
  FakeProxy& proxy = this->proxies.at(aProxy);
  if (!proxy.alive || !proxy.connected || aReply.incarnation != proxy.instance.incarnation) {
    return;
  }
  for (const LeaseGrant& grant : aReply.leases) {
    if (grant.lengthUs == 0) {
      if (!proxy.refusesRelease && grant.epoch >= proxy.lease.epoch) {
        proxy.releasedEpoch = std::max(proxy.releasedEpoch, grant.epoch);
        proxy.lease.end = Instant{};
      }
      continue;
    }
    if (grant.epoch <= proxy.releasedEpoch || grant.epoch < proxy.lease.epoch) {
      continue;
    }
    if (grant.epoch != proxy.lease.epoch) {
      proxy.lease = { grant.epoch, grant.term, Instant{} };
    }
    proxy.lease.term = std::max(proxy.lease.term, grant.term);
    const Duration length{ grant.lengthUs - grant.lengthUs / 50 };
    proxy.lease.end = std::max(proxy.lease.end, aSent + length);
  }
}

void ControlHarness::Replicate()
{
  const FakeSlot* primary = nullptr;
  for (const auto& [name, slot] : this->slots) {
    if (slot.alive && slot.isPrimary && (primary == nullptr || slot.term > primary->term)) {
      primary = &slot;
    }
  }
  if (primary == nullptr) {
    return;
  }
  for (auto& [name, slot] : this->slots) {
    if (&slot == primary || !slot.alive || slot.term > primary->term) {
      continue;
    }
    slot.isPrimary = false;
    slot.term = primary->term;
    slot.received = primary->received;
  }
}

void ControlHarness::WriteOnce(FakeProxy& aProxy)
{
  const DatabaseRow* row = aProxy.directory.FindDatabase("orders");
  if (row == nullptr || row->phase != FailoverPhase::Steady || row->primary.empty() ||
      aProxy.lease.end <= this->now || aProxy.lease.epoch != row->ownerEpoch ||
      aProxy.lease.term != row->term) {
    return;
  }
  FakeSlot& primary = this->slots.at(row->primary);
  if (!primary.alive || !primary.isPrimary || primary.term != row->term ||
      aProxy.unreachable.contains(row->primary)) {
    return;
  }
  if (aProxy.proposedEpoch != row->ownerEpoch) {
    aProxy.proposedEpoch = row->ownerEpoch;
    aProxy.proposed.clear();
  }
  ++primary.received;
  this->Replicate();
  const auto hasReceived = [&](const std::string& aName) {
    const FakeSlot& slot = this->slots.at(aName);
    return slot.alive && slot.term == row->term && slot.received >= primary.received;
  };
  if (std::ranges::all_of(row->inSync, hasReceived) &&
      std::ranges::all_of(aProxy.proposed, hasReceived)) {
    this->acknowledged = std::max(this->acknowledged, primary.received);
  }
}

void ControlHarness::CheckLeases()
{
  const FakeProxy* holder = nullptr;
  for (const auto& [id, proxy] : this->proxies) {
    if (proxy.lease.end <= this->now) {
      continue;
    }
    if (holder != nullptr) {
      this->violations.push_back("two leases: " + holder->instance.id + " term " +
                                 std::to_string(holder->lease.term) + " and " + id + " term " +
                                 std::to_string(proxy.lease.term));
    }
    holder = &proxy;
  }
  if (holder != nullptr && this->state.Databases().Find("orders") != nullptr &&
      holder->lease.term != this->Row().term && holder->drainedTerm != holder->lease.term) {
    this->violations.push_back("a lease of an old term: " + std::to_string(holder->lease.term));
  }
}

} // namespace oleanderledge
