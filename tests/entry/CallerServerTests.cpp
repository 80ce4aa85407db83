#include "oleanderledge/transport/transport.hpp"

#include "tests/entry/FakeOwner.hpp"
#include "tests/entry/TestCaller.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace oleanderledge;
using namespace oleanderledge::test;

namespace {

using Texts = std::vector<std::string>;

/// An entry and a fake owner, connected by the in-process path.
class EntryFixture
{
public:
  explicit EntryFixture(const EntryLimits& aLimits = {}, Duration aLatency = Duration{ 0 })
  {
    EnsureApplication();
    this->settings.self.id = "proxy";
    this->settings.self.linkAddress = "127.0.0.1:1";
    this->settings.callersAddress = "127.0.0.1:0";
    this->settings.limits = aLimits;
    this->settings.emulatedCallerDelay = aLatency;
    this->links = CreateProxyLinks(&this->parent, this->settings.self, {}, 1);
    this->owner = std::make_unique<FakeOwner>(*this->links.incoming);
    this->links.incoming->SetOwner(this->owner.get());
    this->entry = CreateEntryService(&this->parent, this->settings, *this->links.outgoing).value();
    this->entry->ApplyDirectory(DirectoryWithOwner("127.0.0.1:1"));
  }

  std::unique_ptr<FakeOwner> owner;
  QObject parent;
  EntrySettings settings;
  ProxyLinks links;
  EntryService* entry = nullptr;
};

} // namespace

TEST_CASE("A caller runs statements, transactions and settings through the entry")
{
  EntryFixture fixture;
  TestCaller caller(fixture.entry->CallersPort());
  // SSLRequest, refused with "N".
  caller.Send(std::string("\0\0\0\x08\x04\xD2\x16\x2F", 8));
  REQUIRE(WaitFor([&] {
    caller.Read();
    return caller.received == "N";
  }));
  caller.ClearReceived();
  REQUIRE(caller.Start({ { "options", "-c oleanderledge.class=bookings" } }));
  CHECK(caller.Query("SELECT 1") == Texts{ "C:SELECT 1", "Z:I" });
  CHECK(caller.Query("BEGIN READ ONLY") == Texts{ "C:BEGIN READ ONLY", "Z:T" });
  CHECK(caller.Query("COMMIT") == Texts{ "C:COMMIT", "Z:I" });
  CHECK(caller.Query("SET oleanderledge.request_id = 'a-1'") == Texts{ "C:SET", "Z:I" });
  CHECK(caller.Query("SHOW oleanderledge.class") == Texts{ "T", "D:bookings", "C:SHOW", "Z:I" });
  CHECK(caller.Query("INSERT") == Texts{ "C:INSERT", "Z:I" });
  REQUIRE(fixture.owner->requests.size() == 4);
  CHECK(fixture.owner->requests[1].readOnly);
  CHECK(fixture.owner->requests[2].inTransaction);
  CHECK(fixture.owner->requests[3].requestId == "a-1");
  CHECK(fixture.owner->requests[3].workClass == "bookings");
  caller.ClearReceived();
  caller.Send(BuildMessage('P', std::string("s1\0SELECT 2\0\0\0", 14)) + BuildSync());
  REQUIRE(caller.WaitForReady(1));
  caller.ClearReceived();
  caller.Send(BuildMessage('B', std::string("\0s1\0\0\0\0\0\0\0", 10)) +
              BuildMessage('E', std::string("\0\0\0\0\0", 5)) + BuildSync());
  REQUIRE(caller.WaitForReady(1));
  CHECK(caller.Messages() == Texts{ "2", "C:EXECUTE", "Z:I" });
  REQUIRE(fixture.owner->requests.back().prepared.size() == 1);
  CHECK(fixture.owner->requests.back().prepared[0].name == "s1");
}

// Guards against statements that run under a misspelt class, and against callers that cannot
// connect because their class was deleted.
TEST_CASE("An unknown class is an error in SET and a notice at start-up")
{
  EntryFixture fixture;
  ClassRow row;
  row.name = "bookings";
  row.targetMs = 50;
  row.version = 2;
  DatabaseRow database;
  database.name = "orders";
  database.owner = "proxy";
  database.ownerAddress = "127.0.0.1:1";
  database.ownerEpoch = 1;
  database.version = 1;
  auto directory = std::make_shared<Directory>();
  REQUIRE(directory->Apply({ 0, 2, { row }, { database } }));
  fixture.entry->ApplyDirectory(directory);
  TestCaller caller(fixture.entry->CallersPort());
  REQUIRE(caller.Start({ { "options", "-c oleanderledge.class=deleted" } }));
  const Texts opening = caller.Messages();
  CHECK(std::count(opening.begin(), opening.end(), "N") == 1);
  CHECK(caller.Query("SELECT 1") == Texts{ "C:SELECT 1", "Z:I" });
  const Texts refused = caller.Query("SET oleanderledge.class = 'boookings'");
  REQUIRE(refused.size() == 2);
  CHECK(refused[0] == "E:ERROR 22023 class \"boookings\" is not known [1306, not run]");
  CHECK(refused[1] == "Z:I");
  CHECK(fixture.owner->requests.size() == 1);
  CHECK(caller.Query("SET oleanderledge.class = 'bookings'") == Texts{ "C:SET", "Z:I" });
  TestCaller known(fixture.entry->CallersPort());
  REQUIRE(known.Start({ { "options", "-c oleanderledge.class=bookings" } }));
  const Texts quiet = known.Messages();
  CHECK(std::count(quiet.begin(), quiet.end(), "N") == 0);
}

// Guards against callers of a misspelt database that wait for an owner until the wait limit, and
// against an entry that refuses callers before it has received the directory.
TEST_CASE("A start-up for an unknown database is refused once the directory is not empty")
{
  EntryFixture fixture;
  const std::vector<std::pair<std::string, std::string>> parameters = { { "user", "counter" },
                                                                        { "database", "ordres" } };
  const std::string startup = BuildStartup(parameters);
  TestCaller caller(fixture.entry->CallersPort());
  caller.Send(startup);
  REQUIRE(caller.WaitForClose());
  CHECK(caller.Messages() ==
        Texts{ "E:FATAL 3D000 database \"ordres\" is not known to this proxy [1305, not run]" });
  fixture.entry->ApplyDirectory(std::make_shared<Directory>());
  TestCaller early(fixture.entry->CallersPort());
  early.Send(startup);
  CHECK(early.WaitForReady(1));
}

// Guards against relaying the acknowledgement of an owner whose lease expired while the reply was
// in transit.
TEST_CASE("A write acknowledgement after the lease expired is answered as outcome unknown")
{
  EntryFixture fixture;
  fixture.owner->leaseLeftUs = 1;
  TestCaller caller(fixture.entry->CallersPort());
  REQUIRE(caller.Start());
  CHECK(caller.Query("INSERT") ==
        Texts{ "E:ERROR 08007 the ownership lease expired before the outcome was confirmed "
               "[1204, unknown]",
               "Z:I" });
}

TEST_CASE("A cancel request reaches the running unit and one with a wrong secret is ignored")
{
  EntryFixture fixture;
  TestCaller caller(fixture.entry->CallersPort());
  REQUIRE(caller.Start());
  const CancelRequest key = caller.Key();
  caller.ClearReceived();
  caller.Send(BuildQuery("hang"));
  REQUIRE(WaitFor([&] { return fixture.owner->requests.size() == 1; }));
  TestCaller foreign(fixture.entry->CallersPort());
  foreign.Send(BuildCancelRequest(key.processId, key.secret + 1));
  REQUIRE(foreign.WaitForClose());
  CHECK(foreign.received.empty());
  CHECK(fixture.owner->cancels.empty());
  TestCaller own(fixture.entry->CallersPort());
  own.Send(BuildCancelRequest(key.processId, key.secret));
  REQUIRE(caller.WaitForReady(1));
  CHECK(fixture.owner->cancels.size() == 1);
}

// Guards against a stop that interrupts a transaction or leaves sessions open indefinitely.
TEST_CASE("A graceful stop closes idle sessions at once and others after their transaction")
{
  EntryFixture fixture;
  TestCaller idle(fixture.entry->CallersPort());
  TestCaller busy(fixture.entry->CallersPort());
  REQUIRE(idle.Start());
  REQUIRE(busy.Start());
  busy.Query("BEGIN");
  idle.ClearReceived();
  fixture.entry->BeginStop();
  REQUIRE(idle.WaitForClose());
  CHECK(idle.Messages() == Texts{ "E:FATAL 57P01 this proxy is shutting down [1104, not run]" });
  CHECK(busy.Query("INSERT") == Texts{ "C:INSERT", "Z:T" });
  busy.ClearReceived();
  busy.Send(BuildQuery("COMMIT"));
  REQUIRE(busy.WaitForClose());
  CHECK(busy.Messages() ==
        Texts{ "C:COMMIT", "Z:I", "E:FATAL 57P01 this proxy is shutting down [1104, not run]" });
  CHECK(WaitFor([&] { return fixture.entry->IsIdle(); }));
}

TEST_CASE("A graceful stop closes sessions that are not idle within the stop limit")
{
  EntryLimits limits;
  limits.stopLimit = std::chrono::milliseconds(100);
  EntryFixture fixture(limits);
  TestCaller busy(fixture.entry->CallersPort());
  REQUIRE(busy.Start());
  busy.Send(BuildQuery("hang"));
  REQUIRE(WaitFor([&] { return fixture.owner->requests.size() == 1; }));
  fixture.entry->BeginStop();
  CHECK(WaitFor([&] { return fixture.entry->IsIdle(); }));
  CHECK(fixture.owner->closedChannels.size() == 1);
  REQUIRE(busy.WaitForClose());
  CHECK(busy.Messages().back() == "E:FATAL 57P01 this proxy is shutting down [1104, unknown]");
}

TEST_CASE("Sessions over the limit and start-ups that time out are refused with an error")
{
  EntryLimits limits;
  limits.maxSessions = 1;
  limits.startupTimeout = std::chrono::milliseconds(200);
  EntryFixture fixture(limits);
  TestCaller first(fixture.entry->CallersPort());
  REQUIRE(first.Start());
  TestCaller second(fixture.entry->CallersPort());
  second.Send(BuildStartup(TestCaller::Parameters{ { "user", "counter" } }));
  REQUIRE(second.WaitForClose());
  CHECK(second.Messages() ==
        Texts{ "E:FATAL 08004 too many sessions on this proxy [1308, not run]" });
  TestCaller silent(fixture.entry->CallersPort());
  REQUIRE(silent.WaitForClose());
  CHECK(silent.Messages() ==
        Texts{ "E:FATAL 08004 timed out while waiting for the start-up message [1308, not run]" });
  CHECK(first.Query("SELECT") == Texts{ "C:SELECT", "Z:I" });
}

// Guards against invalid input of one client that delays or closes the sessions of others.
TEST_CASE("Random, truncated and oversized input closes only its own connection")
{
  EntryLimits limits;
  limits.maxMessageBytes = std::size_t{ 256 } * 1024;
  limits.startupTimeout = std::chrono::milliseconds(300);
  EntryFixture fixture(limits);
  TestCaller other(fixture.entry->CallersPort());
  REQUIRE(other.Start());
  const std::string startup =
    BuildStartup(TestCaller::Parameters{ { "user", "counter" }, { "database", "orders" } });

  SECTION("random bytes instead of a start-up message or after it")
  {
    rc::prop("random input", [&](const std::string& aBytes, bool aAfterStartup) {
      TestCaller caller(fixture.entry->CallersPort());
      caller.Send((aAfterStartup ? startup : std::string{}) + aBytes);
      RunFor(2);
      caller.socket.disconnectFromHost();
      RC_ASSERT(other.Query("SELECT") == (Texts{ "C:SELECT", "Z:I" }));
    });
  }
  SECTION("an oversized message")
  {
    TestCaller caller(fixture.entry->CallersPort());
    REQUIRE(caller.Start());
    caller.ClearReceived();
    caller.Send(std::string("Q\x7F\xFF\xFF\xFF", 5) + std::string(1000, 'x'));
    REQUIRE(caller.WaitForClose());
    CHECK_THAT(caller.Messages().at(0), Catch::StartsWith("E:FATAL 54000"));
    CHECK_THAT(caller.Messages().at(0), Catch::EndsWith("[1302, not run]"));
  }
  SECTION("an error while more input is still unread")
  {
    TestCaller caller(fixture.entry->CallersPort());
    REQUIRE(caller.Start());
    caller.ClearReceived();
    caller.Send(BuildMessage('p', "password") + std::string(2'000'000, 'x'));
    REQUIRE(caller.WaitForClose());
    REQUIRE(!caller.Messages().empty());
    CHECK_THAT(caller.Messages().at(0), Catch::EndsWith("[1301, not run]"));
  }
  SECTION("a truncated start-up message")
  {
    TestCaller caller(fixture.entry->CallersPort());
    caller.Send(startup.substr(0, startup.size() - 3));
    REQUIRE(caller.WaitForClose());
    CHECK_THAT(caller.Messages().at(0), Catch::EndsWith("[1308, not run]"));
  }
  CHECK(other.Query("SELECT") == Texts{ "C:SELECT", "Z:I" });
  CHECK(WaitFor([&] { return fixture.entry->SessionCount() == 1; }));
}

// Guards against unbounded memory use for a caller that sends queries but does not read the
// answers.
TEST_CASE("Queries of a caller that does not read its answers are not run until it reads")
{
  EntryLimits limits;
  limits.pauseOutputBytes = 1000;
  limits.maxOutputBytes = std::size_t{ 4 } * 1024 * 1024;
  EntryFixture fixture(limits);
  TestCaller caller(fixture.entry->CallersPort());
  REQUIRE(caller.Start());
  caller.socket.setReadBufferSize(1);
  TestCaller other(fixture.entry->CallersPort());
  REQUIRE(other.Start());
  const std::string query = BuildQuery(std::string(200'000, 'x'));
  for (int count = 0; count < 100; ++count) {
    caller.socket.write(query.data(), static_cast<qint64>(query.size()));
  }
  RunFor(300);
  const std::size_t handled = fixture.owner->requests.size();
  CHECK(handled < 100);
  CHECK(other.Query("SELECT") == Texts{ "C:SELECT", "Z:I" });
  CHECK(fixture.entry->SessionCount() == 2);
  caller.socket.setReadBufferSize(0);
  REQUIRE(caller.WaitForReady(101));
  CHECK(fixture.owner->requests.size() == 101);
}

TEST_CASE("The emulated delay applies to requests of callers and to answers")
{
  EntryFixture fixture({}, std::chrono::milliseconds(20));
  TestCaller caller(fixture.entry->CallersPort());
  REQUIRE(caller.Start());
  const Instant before = MonotonicNow();
  CHECK(caller.Query("SELECT") == Texts{ "C:SELECT", "Z:I" });
  CHECK(MonotonicNow() - before >= std::chrono::milliseconds(40));
}
