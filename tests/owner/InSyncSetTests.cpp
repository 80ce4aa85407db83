#include "oleanderledge/owner/internal/InSyncSet.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

/// The primary p, the member q, and r, which is not a member; all at offset 10 of term 1.
class InSyncSetFixture
{
public:
  InSyncSetFixture()
  {
    this->row.name = "orders";
    for (const std::string name : { "p", "q", "r" }) {
      this->row.slots.push_back({ name, "r/a", "127.0.0.1:1", false, false });
    }
    this->row.term = 1;
    this->row.primary = "p";
    this->row.inSync = { "p", "q" };
    this->slots.ApplyRow(this->row, this->now);
    this->inSyncSet.ApplyRow(this->row);
    this->Answer("p", 10);
    this->Answer("q", 10);
    this->Answer("r", 10);
  }

  void Answer(const std::string& aSlot, std::uint64_t aReceived)
  {
    this->slots.NoteStatus({ aSlot, aSlot == "p", 1, aReceived, aReceived, this->now }, this->now);
  }

  /// Advances the time by `aMs` milliseconds and updates the proposal. `aWaitingFor` is the newest
  /// offset of a held write, 0 if none is held.
  void UpdateProposal(int aMs, std::uint64_t aWaitingFor)
  {
    this->now += std::chrono::milliseconds(aMs);
    this->inSyncSet.UpdateProposal(this->slots,
                                   this->now,
                                   this->oldestHeldSince,
                                   { 1, aWaitingFor },
                                   { 1, this->primaryOffset });
  }

  Instant now{ std::chrono::seconds(100) };
  Instant oldestHeldSince = this->now;
  std::uint64_t primaryOffset = 10;
  DatabaseRow row;
  SlotTracker slots;
  InSyncSet inSyncSet;
};

} // namespace

// Guards against the loss of acknowledged writes: control can commit a joining slot and promote it
// before the owner learns of it, so the slot must hold every write acknowledged since its proposal.
TEST_CASE("A joining slot is required before it is proposed and until control commits the proposal")
{
  InSyncSetFixture fixture;
  fixture.slots.NoteAcknowledged({ 1, 10 });
  fixture.UpdateProposal(0, 0);
  fixture.Answer("r", 10);
  fixture.UpdateProposal(500, 0);
  CHECK(fixture.inSyncSet.ProposedMembers().empty());
  // Required from now on: r lacks offset 11.
  fixture.Answer("q", 11);
  CHECK_FALSE(fixture.inSyncSet.IsReceivedByAll({ 1, 11 }, fixture.slots));
  fixture.Answer("r", 10);
  fixture.UpdateProposal(5, 0);
  CHECK(fixture.inSyncSet.ProposedMembers() == std::vector<std::string>{ "p", "q", "r" });
  // It stays required although it has stopped answering, because control may commit the proposal.
  fixture.UpdateProposal(2000, 0);
  CHECK_FALSE(fixture.inSyncSet.IsReceivedByAll({ 1, 11 }, fixture.slots));
  fixture.Answer("r", 11);
  CHECK(fixture.inSyncSet.IsReceivedByAll({ 1, 11 }, fixture.slots));
}

// Guards against the loss of acknowledged writes: a slot that lacks one could be promoted once it
// is a member.
TEST_CASE("A slot that lacks an acknowledged write is not proposed")
{
  InSyncSetFixture fixture;
  fixture.slots.NoteAcknowledged({ 1, 100 });
  fixture.primaryOffset = 100;
  for (std::uint64_t round = 0; round < 20; ++round) {
    fixture.Answer("r", 11 + round); // Makes progress, and therefore keeps up.
    fixture.UpdateProposal(100, 0);
  }
  CHECK(fixture.inSyncSet.ProposedMembers().empty());
}

// Guards against the loss of acknowledged writes while a stalled member is removed: control may
// still promote it, so it stays required until control has committed its removal.
TEST_CASE("A stalled member is proposed for removal and stays required until control commits")
{
  InSyncSetFixture fixture;
  fixture.UpdateProposal(799, 11);
  CHECK(fixture.inSyncSet.ProposedMembers().empty());
  fixture.UpdateProposal(1, 11);
  CHECK(fixture.inSyncSet.ProposedMembers() == std::vector<std::string>{ "p" });
  CHECK_FALSE(fixture.inSyncSet.IsReceivedByAll({ 1, 11 }, fixture.slots));
  fixture.row.inSync = { "p" };
  fixture.inSyncSet.ApplyRow(fixture.row);
  CHECK(fixture.inSyncSet.IsReceivedByAll({ 1, 11 }, fixture.slots));
}

// Guards against the removal of members of an idle database: they make no progress, because there
// is nothing to receive.
TEST_CASE("A member is not proposed for removal while no write waits")
{
  InSyncSetFixture fixture;
  fixture.oldestHeldSince = fixture.now + std::chrono::seconds(10);
  fixture.UpdateProposal(5000, 0);
  CHECK(fixture.inSyncSet.ProposedMembers().empty());
}

// Guards against comparing positions of different terms: a replica that has only positions of the
// old term need not hold writes of the new one.
TEST_CASE("A received position of an older term does not confirm a write")
{
  InSyncSetFixture fixture;
  fixture.row.term = 2;
  fixture.inSyncSet.ApplyRow(fixture.row);
  CHECK_FALSE(fixture.inSyncSet.IsReceivedByAll({ 2, 5 }, fixture.slots));
}
