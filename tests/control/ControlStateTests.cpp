#include "oleanderledge/control/control.hpp"
#include "oleanderledge/link/link.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

ChangeClass Create(const char* aRequest, const char* aName, std::uint64_t aVersion)
{
  return { aRequest, ClassAction::Create, aName, 50, aVersion, 0 };
}

void Apply(ControlState& aState, std::uint64_t aIndex, const ControlCommand& aCommand)
{
  aState.Apply(aIndex, EncodeCommand(aCommand));
}

ResultCode CodeOf(const ControlState& aState, const ChangeClass& aChange)
{
  const OperatorAnswer* answer = aState.Classes().FindAnswer(aChange);
  REQUIRE(answer != nullptr);
  return answer->code;
}

/// A steady database "orders" with the in-sync slots a and b; the last index is 5.
ControlState SteadyDatabase()
{
  ControlState state;
  Apply(state, 1, UpdateSlot{ "orders", 0, "ledger", 25, { "a", "r/a", "1:1", false, false } });
  Apply(state, 2, UpdateSlot{ "orders", 1, "ledger", 25, { "b", "r/b", "1:2", false, false } });
  Apply(state, 3, AdoptPrimary{ "orders", 2, "a", 7 });
  Apply(state, 4, AssignOwner{ "orders", 3, "p1", 11, "1:3" });
  Apply(state, 5, ChangeInSync{ "orders", 4, 1, 7, { "a", "b" } });
  return state;
}

} // namespace

// Guards against lost updates: if two changes on the same base version were accepted, the first
// would be overwritten unnoticed.
TEST_CASE("Of two changes on the same version the second fails and gets the current classes")
{
  ControlState state;
  const ChangeClass first = Create("r1", "bookings", 0);
  const ChangeClass second = Create("r2", "lookups", 0);
  Apply(state, 1, first);
  Apply(state, 2, second);
  CHECK(CodeOf(state, first) == ResultCode::Ok);
  CHECK(CodeOf(state, second) == ResultCode::VersionConflict);
  const OperatorAnswer* conflict = state.Classes().FindAnswer(second);
  CHECK(conflict->version == 1);
  REQUIRE(conflict->classes.size() == 1);
  CHECK(conflict->classes[0].name == "bookings");
  CHECK(state.DirectoryVersion() == 1);
}

// Guards against a request that is applied again if it is repeated because its answer was lost,
// also after a restart from a snapshot, and against an id that is used for two different requests.
TEST_CASE("A repeated request gets its first answer, also after a restore")
{
  ControlState state;
  const ChangeClass change = Create("r1", "bookings", 0);
  Apply(state, 1, change);
  Apply(state, 2, ChangeClass{ "r2", ClassAction::Set, "bookings", 80, 1, 0 });
  ControlState restored;
  REQUIRE(restored.Restore(2, state.Serialize()));
  Apply(restored, 3, change);
  CHECK(CodeOf(restored, change) == ResultCode::Ok);
  CHECK(restored.Classes().FindAnswer(change)->version == 1);
  CHECK(restored.Classes().Version() == 2);
  CHECK(restored.Classes().ActiveClasses()[0].targetMs == 80);
  CHECK(restored.Classes().History().size() == 2);
  CHECK(CodeOf(restored, Create("r1", "reprints", 2)) == ResultCode::RequestIdReused);
}

// Guards against changes that are lost by a restart from a snapshot, and against deleted classes
// that proxies keep.
TEST_CASE("Hundreds of changes survive a snapshot and deltas carry tombstones")
{
  ControlState state;
  std::uint64_t index = 0;
  for (int i = 0; i < 300; ++i) {
    const std::string name = "class-" + std::to_string(i % 10);
    const ClassAction action = i < 10 ? ClassAction::Create : ClassAction::Set;
    const std::uint64_t version = state.Classes().Version();
    ++index;
    Apply(state, index, ChangeClass{ "r" + std::to_string(i), action, name, 100 + i, version, 0 });
  }
  Directory directory;
  REQUIRE(directory.Apply(state.ChangesSince(0)));
  Apply(state, 301, ChangeClass{ "last", ClassAction::Delete, "class-3", 0, 300, 0 });
  ControlState restored;
  REQUIRE(restored.Restore(301, state.Serialize()));
  CHECK(restored.Serialize() == state.Serialize());
  CHECK(restored.Classes().History().size() == 301);
  const DirectoryUpdate delta = restored.ChangesSince(directory.Version());
  CHECK(delta.classes.size() == 1);
  REQUIRE(directory.Apply(delta));
  CHECK(directory.FindClass("class-3") == nullptr);
  CHECK(directory.FindClass("class-9")->targetMs == 399);
}

// Guards against invalid classes that proxies would start to use.
TEST_CASE("Classes with an invalid name or target are rejected")
{
  ControlState state;
  std::uint64_t index = 0;
  for (ChangeClass change : { Create("r1", "", 0),
                              Create("r2", "two words", 0),
                              ChangeClass{ "r3", ClassAction::Create, "fast", 0, 0, 0 } }) {
    Apply(state, ++index, change);
    CHECK(CodeOf(state, change) == ResultCode::InvalidClass);
  }
  const ChangeClass missing{ "r4", ClassAction::Delete, "missing", 0, 0, 0 };
  Apply(state, ++index, missing);
  CHECK(CodeOf(state, missing) == ResultCode::ClassNotFound);
  CHECK(state.DirectoryVersion() == 0);
}

// Guards against a step that takes effect twice because two leaders proposed it.
TEST_CASE("A database command decided on an older row changes nothing")
{
  ControlState state = SteadyDatabase();
  Apply(state, 6, BeginFencing{ "orders", 5, FencingReason::PrimaryLost });
  Apply(state, 7, DecidePromotion{ "orders", 6, "b", 8, "p2", 12, "1:4" });
  const DatabaseRow row = state.Databases().Find("orders")->row;
  CHECK(row.term == 8);
  CHECK(row.ownerEpoch == 2);
  Apply(state, 8, DecidePromotion{ "orders", 6, "b", 8, "p3", 13, "1:5" });
  Apply(state, 9, AssignOwner{ "orders", 5, "p3", 13, "1:5" });
  CHECK(state.Databases().Find("orders")->row.owner == "p2");
  CHECK(state.Databases().Find("orders")->row.version == 7);
  Apply(state, 10, CompletePromotion{ "orders", 7, 8 });
  CHECK(state.Databases().Find("orders")->row.inSync == std::vector<std::string>{ "b" });
}

// Guards against the loss of acknowledged writes by a wrong decision of a leader: the state itself
// rejects such commands.
TEST_CASE("The state rejects promotions and in-sync sets that could lose acknowledged writes")
{
  ControlState state = SteadyDatabase();
  Apply(state, 6, UpdateSlot{ "orders", 5, "ledger", 25, { "c", "r/c", "1:9", false, false } });
  Apply(state, 7, ChangeInSync{ "orders", 6, 1, 7, { "b" } });
  Apply(state, 8, ChangeInSync{ "orders", 6, 1, 6, { "a" } });
  Apply(state, 9, ChangeInSync{ "orders", 6, 2, 7, { "a" } });
  Apply(state, 10, DecidePromotion{ "orders", 6, "b", 8, "p2", 12, "1:4" });
  CHECK(state.Databases().Find("orders")->row.version == 6);
  Apply(state, 11, BeginFencing{ "orders", 6, FencingReason::PrimaryLost });
  Apply(state, 12, ChangeInSync{ "orders", 11, 1, 7, { "a", "b", "c" } });
  Apply(state, 13, DecidePromotion{ "orders", 11, "c", 8, "p2", 12, "1:4" });
  Apply(state, 14, DecidePromotion{ "orders", 11, "b", 7, "p2", 12, "1:4" });
  CHECK(state.Databases().Find("orders")->row.version == 11);
}

// Guards against a drain time that counts anew from a later change of a draining server.
TEST_CASE("The version of a drain stays while the server drains in one start")
{
  ControlState state;
  BackendRow row;
  row.name = "a";
  row.service = "ledger";
  const auto apply = [&state, &row](std::uint64_t aIndex) {
    ++row.sequence;
    Apply(state, aIndex, UpdateBackend{ row });
    return state.Backends().Find("a")->drainingVersion;
  };
  CHECK(apply(1) == 0);
  row.draining = true;
  row.claimsPrimary = true;
  CHECK(apply(2) == 2);
  row.claimsPrimary = false;
  CHECK(apply(3) == 2);
  ++row.startedUnixMs;
  CHECK(apply(4) == 4);
  ++row.startedUnixMs;
  row.draining = false;
  CHECK(apply(5) == 0);
}

// Guards against a silence that is recorded for a later start, or stays when the server is back.
TEST_CASE("The silence of a server lasts until its next registration, also in a snapshot")
{
  ControlState state;
  BackendRow row;
  row.name = "a";
  row.service = "ledger";
  row.claimsPrimary = true;
  row.sequence = 1;
  const auto recorded = [&state] { return *state.Backends().Find("a"); };
  Apply(state, 1, UpdateBackend{ row });
  Apply(state, 2, SetBackendSilence{ "a", 7, true });
  CHECK_FALSE(recorded().isSilent);
  Apply(state, 3, SetBackendSilence{ "a", 1, true });
  CHECK(recorded().isSilent);
  CHECK(recorded().version == 3);
  CHECK_FALSE(recorded().claimsPrimary);
  ControlState restored;
  REQUIRE(restored.Restore(3, state.Serialize()));
  CHECK(restored.Backends().Find("a")->isSilent);
  ++row.sequence;
  CHECK_FALSE(IsSameRegistration(recorded(), row));
  Apply(state, 4, UpdateBackend{ row });
  CHECK_FALSE(recorded().isSilent);
  CHECK(recorded().claimsPrimary);
  CHECK(state.DirectoryVersion() == 4);
}

// Guards against a running server whose place stays taken by an entry that names its address.
TEST_CASE("A reinstated server takes its address back, unless its row has changed meanwhile")
{
  ControlState state;
  BackendRow server;
  server.name = "i-1";
  server.service = "ledger";
  server.address = "10.0.0.1:8080";
  server.startedUnixMs = 5;
  server.sequence = 1;
  BackendRow entry = server;
  entry.name = "x-1";
  entry.startedUnixMs = 9;
  Apply(state, 1, UpdateBackend{ server });
  Apply(state, 2, UpdateBackend{ entry });
  REQUIRE(state.Backends().Find("i-1") == nullptr);
  server.sequence = 4;
  Apply(state, 3, UpdateBackend{ server });
  REQUIRE(state.Backends().Find("i-1") == nullptr);
  SECTION("unchanged")
  {
    Apply(state, 4, ReinstateBackend{ server, 2 });
    REQUIRE(state.Backends().Find("i-1") != nullptr);
    CHECK(state.Backends().Find("i-1")->version == 4);
    CHECK(state.Backends().Find("x-1") == nullptr);
    CHECK(state.DirectoryVersion() == 4);
  }
  SECTION("changed")
  {
    Apply(state, 4, ReinstateBackend{ server, 1 });
    CHECK(state.Backends().Find("i-1") == nullptr);
    CHECK(state.Backends().Find("x-1") != nullptr);
  }
}

// Guards against members that fail or diverge on commands of another program version.
TEST_CASE("Commands that cannot be decoded are skipped")
{
  ControlState state = SteadyDatabase();
  const std::string before = state.Serialize();
  state.Apply(6, "damaged");
  state.Apply(7, "");
  CHECK(state.Serialize() == before);
}
