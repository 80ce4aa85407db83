#include "tests/owner/OwnerHarness.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <random>

using namespace oleanderledge;

namespace {

/// Runs random interleavings of units, server responses, connection losses, lease expiries,
/// failovers and cancellations. Checks the owner's guarantees at every reply and at the end.
class Interleaving
{
public:
  explicit Interleaving(std::uint64_t aSeed)
    : random(aSeed)
  {
    this->harness.Start();
    this->lastGrant = this->harness.now;
  }

  void Run(int aSteps)
  {
    for (int step = 0; step < aSteps; ++step) {
      this->Step();
      this->CheckReplies();
    }
    this->EndFaults();
    this->CheckEnd();
  }

private:
  struct Submitted
  {
    std::string sql;
    std::string session;
    std::string requestId;
    bool isWrite = false;
    int value = 0;
    std::size_t acknowledgedBefore = 0; ///< Acknowledged writes of the session at submission.
    bool closed = false;
    int finalReplies = 0;
  };

  struct Channel
  {
    bool busy = false;
    char status = 'I';
    std::uint64_t sequence = 0;
    std::vector<int> writesInTransaction;
    std::string session;
  };

  /// A random number from 0 to `aCount` - 1.
  int RandomBelow(int aCount)
  {
    return static_cast<int>(this->random() % static_cast<unsigned>(aCount));
  }

  void Step()
  {
    // Ends a failover early, so that more of the steps run while the database is in service.
    if ((this->renewalsStopped || this->promoted) && this->RandomBelow(12) == 0) {
      this->AdvanceFailover();
      this->CheckReplies();
    }
    const int action = this->RandomBelow(100);
    if (action < 22) {
      this->SubmitRandomUnit();
    } else if (action < 70) {
      this->ProcessSomeMessages();
    } else if (action < 78) {
      const std::string slot = this->RandomSlot();
      const std::size_t end = this->harness.group.log.size();
      this->harness.group.Replicate(
        slot, end, end - static_cast<std::size_t>(this->RandomBelow(2)) % (end + 1));
    } else if (action < 86) {
      this->harness.AnswerStatus(this->RandomSlot());
    } else if (action < 91) {
      this->harness.Advance(1 + this->RandomBelow(60));
    } else if (action < 94) {
      this->RenewLease();
    } else if (action < 95) {
      this->BreakConnection();
    } else if (action < 96) {
      this->CancelRandomUnit();
    } else if (action < 97) {
      this->FinishCancel();
    } else if (action < 98) {
      this->CloseRandomChannel();
    } else if (action < 99) {
      this->ChangeInSync();
    } else if (this->RandomBelow(4) == 0) {
      this->AdvanceFailover();
    }
  }

  std::uint64_t RandomChannel()
  {
    return this->openChannels[static_cast<std::size_t>(
      this->RandomBelow(static_cast<int>(this->openChannels.size())))];
  }

  std::string RandomSlot()
  {
    auto slot = this->harness.group.slots.begin();
    std::advance(slot, this->RandomBelow(static_cast<int>(this->harness.group.slots.size())));
    return slot->first;
  }

  void ProcessSomeMessages()
  {
    if (this->RandomBelow(5) == 0) {
      this->harness.OpenNext();
    }
    const auto ids = this->harness.Connections();
    if (ids.empty()) {
      return;
    }
    const ConnectionId id =
      ids[static_cast<std::size_t>(this->RandomBelow(static_cast<int>(ids.size())))];
    this->harness.ExecuteNext(id);
    while (this->RandomBelow(4) != 0 && this->harness.DeliverNext(id)) {
    }
  }

  void SubmitRandomUnit()
  {
    const std::uint64_t number = this->RandomChannel();
    Channel& channel = this->channels[number];
    if (channel.busy) {
      return;
    }
    channel.session = "s" + std::to_string(number % 3);
    Submitted unit;
    unit.session = channel.session;
    std::string sql;
    const int kind = this->RandomBelow(10);
    if (channel.status == 'E') {
      sql = "ROLLBACK";
    } else if (channel.status == 'T' && kind < 4) {
      sql = kind < 3 ? "COMMIT" : "ROLLBACK";
    } else if (channel.status == 'I' && kind < 2) {
      sql = "BEGIN";
    } else if (kind < 6 && channel.status == 'I') {
      sql = "READ " + channel.session + " " + std::to_string(++this->lastValue) + " " +
            std::to_string(number);
    } else {
      unit.isWrite = true;
      unit.value = ++this->lastValue;
      sql = "WRITE " + channel.session + " " + std::to_string(unit.value) + " " +
            std::to_string(number);
    }
    unit.sql = sql;
    auto request = OwnerHarness::Request(number, ++channel.sequence, sql);
    request.session = channel.session;
    request.inTransaction = channel.status != 'I';
    if (channel.status == 'I' && !request.readOnly && this->RandomBelow(2) == 0) {
      request.requestId = "id" + std::to_string(this->RandomBelow(20));
    }
    unit.requestId = request.requestId;
    unit.acknowledgedBefore = this->acknowledged[channel.session].size();
    channel.busy = true;
    this->submitted[{ number, request.sequence }] = unit;
    this->harness.Submit(request, 1);
  }

  void RenewLease()
  {
    if (this->renewalsStopped) {
      return;
    }
    // The heartbeat was sent some time before its answer arrives.
    const Instant sent = this->harness.now - std::chrono::milliseconds(this->RandomBelow(30));
    const LeaseGrant grant{
      this->harness.row.name, this->harness.row.ownerEpoch, this->harness.row.term, 1'000'000
    };
    this->lastGrant = std::max(this->lastGrant, this->harness.now);
    this->lastSent = std::max(this->lastSent, sent);
    this->harness.owner.ApplyLease(grant, sent, this->harness.now);
    this->harness.CollectActions();
  }

  void BreakConnection()
  {
    const auto ids = this->harness.Connections();
    if (ids.empty()) {
      return;
    }
    const ConnectionId id =
      ids[static_cast<std::size_t>(this->RandomBelow(static_cast<int>(ids.size())))];
    this->harness.group.BreakConnection(id);
    std::erase(this->harness.opening, id);
    this->harness.owner.ConnectionLost(id, "broken", this->harness.now);
    this->harness.CollectActions();
  }

  void CancelRandomUnit()
  {
    const std::uint64_t number = this->RandomChannel();
    this->harness.owner.Cancel(1, { number, this->channels[number].sequence }, this->harness.now);
    this->harness.CollectActions();
  }

  void FinishCancel()
  {
    if (this->harness.cancels.empty()) {
      return;
    }
    const ConnectionId id = this->harness.cancels.back();
    this->harness.cancels.pop_back();
    const auto found = this->harness.group.connections.find(id);
    if (found != this->harness.group.connections.end() && !found->second.inbox.empty()) {
      found->second.cancelled = true;
    }
    this->harness.owner.CancelFinished(id, this->harness.now);
    this->harness.CollectActions();
  }

  void CloseRandomChannel()
  {
    const std::uint64_t number = this->RandomChannel();
    for (auto& [key, unit] : this->submitted) {
      unit.closed = unit.closed || key.first == number;
    }
    this->harness.owner.CloseChannel({ 1, number }, this->harness.now);
    this->harness.CollectActions();
    // Entry processes never reuse a channel number.
    for (std::uint64_t& open : this->openChannels) {
      open = open == number ? ++this->lastChannel : open;
    }
  }

  /// Commits a proposal of the present epoch, as control does.
  void ChangeInSync()
  {
    const OwnerReport report = this->harness.owner.Report(this->harness.now);
    if (!this->promoted && report.epoch == this->harness.row.ownerEpoch &&
        report.term == this->harness.row.term && !report.proposedInSync.empty()) {
      this->harness.row.inSync = report.proposedInSync;
      this->harness.ApplyRow();
    }
  }

  /// Performs the next step of a failover, as control does: the lease expires or is released, the
  /// member of the in-sync set with the newest position is promoted, and the new row is applied.
  void AdvanceFailover()
  {
    if (this->promoted) {
      this->renewalsStopped = false;
      this->promoted = false;
      ++this->harness.row.ownerEpoch;
      this->harness.row.term = this->harness.group.slots.begin()->second.term;
      this->harness.row.inSync = this->nextInSync;
      this->harness.row.primary = this->nextPrimary;
      this->harness.ApplyRow();
      return;
    }
    if (!this->renewalsStopped) {
      this->renewalsStopped = true;
      if (this->RandomBelow(2) == 0) {
        this->harness.GrantLease(0);
      } else {
        this->harness.Advance(100);
      }
      return;
    }
    // The control leader waits for the lease length of 1,000 ms plus 2 % for clock drift.
    const bool leaseIsOver = this->harness.now > this->lastSent + std::chrono::milliseconds(1020) ||
                             this->harness.owner.Report(this->harness.now).released;
    if (!leaseIsOver) {
      this->harness.Advance(400);
      return;
    }
    this->nextInSync.clear();
    for (const std::string& slot : this->harness.row.inSync) {
      if (slot != this->harness.row.primary) {
        this->nextInSync.push_back(slot);
      }
    }
    if (this->nextInSync.empty()) {
      return;
    }
    this->nextPrimary = this->nextInSync.front();
    for (const std::string& slot : this->nextInSync) {
      const auto& slots = this->harness.group.slots;
      if (slots.at(slot).received > slots.at(this->nextPrimary).received) {
        this->nextPrimary = slot;
      }
    }
    this->harness.group.Promote(this->nextPrimary, this->harness.row.term + 1);
    this->promoted = true;
    this->CheckDurability();
  }

  void CheckReplies()
  {
    for (const StatementReply& reply : this->harness.replies) {
      if (!reply.finalPiece) {
        continue;
      }
      Submitted& unit = this->submitted.at({ reply.channel, reply.sequence });
      RC_ASSERT(!unit.closed);
      RC_ASSERT(++unit.finalReplies == 1);
      this->CheckReply(unit, reply);
      Channel& channel = this->channels[reply.channel];
      channel.busy = false;
      channel.status = reply.transactionStatus;
    }
    this->harness.replies.clear();
    RC_ASSERT(!this->harness.group.mixedTransactions);
  }

  void CheckReply(const Submitted& aUnit, const StatementReply& aReply)
  {
    if (aReply.runState == RunState::NotRun) {
      this->notRun.insert(aUnit.sql);
    }
    Channel& channel = this->channels[aReply.channel];
    const bool failed = aReply.code != ResultCode::Ok || SplitMessages(aReply.payload).empty() ||
                        SplitMessages(aReply.payload).back().type == 'E';
    if (aUnit.sql.starts_with("READ") && !failed) {
      const auto row = ReadDataRow(SplitMessages(aReply.payload).front().body);
      RC_ASSERT(std::stoul(row.front().value()) >= aUnit.acknowledgedBefore);
    }
    if (aReply.isWriteAcknowledgement) {
      RC_ASSERT(!this->promoted);
      RC_ASSERT(this->harness.now < this->lastSent + std::chrono::milliseconds(1000));
    }
    if (aUnit.sql == "BEGIN" || aReply.transactionStatus != 'T') {
      const bool commits =
        aUnit.sql == "COMMIT" && !failed && aReply.payload == BuildCommandComplete("COMMIT");
      for (const int value : channel.writesInTransaction) {
        if (commits) {
          this->NoteAcknowledged(aUnit.session, value);
        }
      }
      channel.writesInTransaction.clear();
    }
    if (aUnit.isWrite && !failed && aReply.transactionStatus == 'T') {
      channel.writesInTransaction.push_back(aUnit.value);
    }
    if (aUnit.isWrite && !failed && aReply.transactionStatus == 'I') {
      RC_ASSERT(aReply.isWriteAcknowledgement);
      // With a request id that was already applied, the earlier write is acknowledged instead.
      if (aUnit.requestId.empty() || this->InLog(aUnit.value)) {
        this->NoteAcknowledged(aUnit.session, aUnit.value);
      }
    }
  }

  bool InLog(int aValue) const
  {
    const auto& log = this->harness.group.log;
    return std::any_of(
      log.begin(), log.end(), [&](const auto& aRecord) { return aRecord.value == aValue; });
  }

  void NoteAcknowledged(const std::string& aSession, int aValue)
  {
    this->acknowledged[aSession].insert(aValue);
    // Every member of the in-sync set must hold the write.
    const auto& log = this->harness.group.log;
    const auto found = std::find_if(
      log.begin(), log.end(), [&](const auto& aRecord) { return aRecord.value == aValue; });
    RC_ASSERT(found != log.end());
    const auto end = static_cast<std::size_t>(found - log.begin()) + 1;
    for (const std::string& slot : this->harness.row.inSync) {
      const auto& state = this->harness.group.slots.at(slot);
      RC_ASSERT(state.isPrimary || state.received >= end);
    }
  }

  void CheckDurability()
  {
    for (const auto& [session, values] : this->acknowledged) {
      for (const int value : values) {
        RC_ASSERT(this->InLog(value));
      }
    }
  }

  /// Ends all faults and lets the remaining units finish or time out.
  void EndFaults()
  {
    while (this->promoted) {
      this->AdvanceFailover();
    }
    this->renewalsStopped = false;
    if (this->harness.owner.Report(this->harness.now).released) {
      ++this->harness.row.ownerEpoch;
      this->harness.ApplyRow();
    }
    for (const ConnectionId id : this->harness.Connections()) {
      if (this->harness.group.connections.at(id).stopped) {
        this->harness.group.BreakConnection(id);
        std::erase(this->harness.opening, id);
        this->harness.owner.ConnectionLost(id, "dead", this->harness.now);
        this->harness.CollectActions();
      }
    }
    for (int round = 0; round < 30; ++round) {
      this->RenewLease();
      while (!this->harness.cancels.empty()) {
        this->FinishCancel();
      }
      this->harness.Settle();
      this->harness.ReplicateAll();
      this->harness.Advance(100);
      this->CheckReplies();
    }
  }

  void CheckEnd()
  {
    this->CheckDurability();
    for (const auto& [key, unit] : this->submitted) {
      RC_ASSERT(unit.closed || unit.finalReplies == 1);
    }
    for (const std::string& sql : this->notRun) {
      RC_ASSERT(!this->harness.group.executedStatements.contains(sql));
    }
    for (const auto& record : this->harness.group.log) {
      RC_ASSERT(record.requestId.empty() || this->OneTransactionPerId(record));
    }
  }

  /// True if all records of the request id were committed by one execution.
  bool OneTransactionPerId(const FakeGroup::Record& aRecord) const
  {
    int transactions = 0;
    std::string previous;
    for (const auto& record : this->harness.group.log) {
      transactions += record.requestId == aRecord.requestId && previous != record.requestId ? 1 : 0;
      previous = record.requestId;
    }
    return transactions == 1;
  }

  OwnerHarness harness;
  std::mt19937_64 random;
  std::array<std::uint64_t, 6> openChannels{ 1, 2, 3, 4, 5, 6 };
  std::uint64_t lastChannel = 6;
  std::map<std::uint64_t, Channel> channels;
  std::map<std::pair<std::uint64_t, std::uint64_t>, Submitted> submitted;
  std::map<std::string, std::set<int>> acknowledged;
  std::set<std::string> notRun;
  int lastValue = 0;
  Instant lastGrant;
  Instant lastSent = this->harness.now;
  bool renewalsStopped = false; ///< A failover has begun: the lease is not renewed.
  bool promoted = false;        ///< The group has a new primary that the owner does not know of.
  std::vector<std::string> nextInSync;
  std::string nextPrimary;
};

} // namespace

// Guards the owner's guarantees against rare orders of events: a session reads its acknowledged
// writes, acknowledged writes survive failovers, transactions of channels do not mix, a unit that
// is reported as not run has not run, a request id is applied at most once, and each unit is
// answered once.
TEST_CASE("Random interleavings of units and faults keep the owner's guarantees")
{
  REQUIRE(rc::check([] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    Interleaving interleaving(seed);
    interleaving.Run(3000);
  }));
}
