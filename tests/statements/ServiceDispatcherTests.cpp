#include "oleanderledge/platform/WireProtocol.hpp"
#include "oleanderledge/statements/internal/ServiceDispatcher.hpp"
#include "standin/platform/PlatformDatabase.hpp"
#include "tests/statements/Caller.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace oleanderledge;
using namespace oleanderledge::test;
using namespace std::chrono_literals;

namespace {

/// The dispatcher of a service with one server, at which it may hold two connections.
class DispatcherWithTwoConnections : private Application
{
public:
  explicit DispatcherWithTwoConnections(bool aPacesStarts = false)
    : database(this->group, "i-1")
    , relayClient({}, nullptr)
    , dispatcher(this->protocol, "ledger", "east/a", this->relayClient, aPacesStarts, nullptr)
  {
    this->group.service = "ledger";
    this->group.primary = "i-1";
    this->update.services = { { "ledger", 10, 0, 1, false } };
    this->address = this->database.Listen();
    this->SetBackend("i-1", 1);
    this->SetLimit(2);
  }

  /// Publishes a server that has started at this time. All have the same address.
  void SetBackend(const std::string& aName, std::int64_t aStartedMs)
  {
    ++this->update.version;
    std::erase_if(this->update.backends,
                  [&aName](const BackendRow& aEach) { return aEach.name == aName; });
    BackendRow row;
    row.name = aName;
    row.service = "ledger";
    row.address = this->address;
    row.zone = "a";
    row.slots = 3;
    row.startedUnixMs = aStartedMs;
    row.version = this->update.version;
    this->update.backends.push_back(row);
    this->directory.Apply(this->update);
    this->dispatcher.ApplyDirectory(this->directory, {}, 1, {});
  }

  void SetLimit(std::uint32_t aLimit) { this->dispatcher.ApplyGrant({ "i-1", aLimit, {} }); }
  BackendPool& Pool() const { return *this->dispatcher.Pools().at("i-1"); }

  /// Requests a connection for a request that has waited for `aWaited` of a second.
  ServiceDispatcher::Ticket Request(const std::string& aName,
                                    const std::string& aOrganisation,
                                    std::uint32_t aPriority,
                                    Duration aWaited = 0ms)
  {
    PlacementRequest request;
    request.backend = "i-1";
    request.arrivedAt = MonotonicNow() - aWaited;
    request.deadline = request.arrivedAt + 1s;
    request.priority = aPriority;
    request.settings = &this->settings;
    request.organisation = aOrganisation;
    const auto ticket = this->dispatcher.NewTicket();
    this->dispatcher.RequestConnection(
      ticket,
      request,
      [this, aName](const std::optional<Placement>& aPlacement, const PlacementRefusal&) {
        this->placed[aName] = aPlacement ? aPlacement->connection : nullptr;
      });
    return ticket;
  }
  bool IsPlaced(const std::string& aName) const { return this->placed.contains(aName); }
  bool WaitFor(const std::string& aName) const
  {
    return RunUntil([this, &aName] { return this->IsPlaced(aName); });
  }
  void Release(const std::string& aName) { this->Pool().Release(this->placed.at(aName), false); }
  /// Opens two connections of an organisation and leaves them idle.
  void OpenTwoFor(const std::string& aOrganisation)
  {
    this->Request("first", aOrganisation, 1);
    this->Request("second", aOrganisation, 1);
    REQUIRE(this->WaitFor("first"));
    REQUIRE(this->WaitFor("second"));
    this->Release("first");
    this->Release("second");
  }

  Directory directory;
  DirectoryUpdate update;
  std::string address;
  SettingMap settings;
  std::map<std::string, BackendConnection*> placed; ///< By name of the request.
  standin::PlatformGroup group;
  standin::PlatformDatabase database;
  platform::WireProtocol protocol;
  RelayClient relayClient;
  ServiceDispatcher dispatcher;
};

} // namespace

// Guards against an idle connection that is closed and opened again for the same organisation while
// a more urgent request, for which another one is already being opened, waits.
TEST_CASE_METHOD(DispatcherWithTwoConnections,
                 "An urgent request of one organisation costs another one connection only",
                 "[dispatcher]")
{
  this->OpenTwoFor("miny");
  this->Request("urgent", "bela", 0);
  this->Request("other", "miny", 1);
  CHECK(this->IsPlaced("other"));
  REQUIRE(this->WaitFor("urgent"));
  CHECK(this->Pool().OpenedCount() == 3);
}

// Guards against an organisation that gets no connection because another one, whose requests never
// pause, has all of them.
TEST_CASE_METHOD(DispatcherWithTwoConnections,
                 "A request that has waited for long gets the next connection of a full pool",
                 "[dispatcher]")
{
  this->SetLimit(1);
  this->Request("first", "miny", 1);
  REQUIRE(this->WaitFor("first"));
  const auto ticket = this->Request("new", "bela", 1);
  this->Request("second", "miny", 1);
  this->Release("first");
  REQUIRE(this->WaitFor("second"));
  CHECK_FALSE(this->IsPlaced("new"));
  this->dispatcher.Cancel(ticket);
  this->Request("old", "cora", 1, 600ms);
  this->Request("third", "miny", 1);
  this->Release("second");
  REQUIRE(this->WaitFor("old"));
  CHECK_FALSE(this->IsPlaced("third"));
}

// Guards against a connection beyond the grant that is kept for good, as nobody of its organisation
// needs it.
TEST_CASE_METHOD(DispatcherWithTwoConnections,
                 "A connection that opens after the limit was lowered is closed",
                 "[dispatcher]")
{
  const auto ticket = this->Request("cancelled", "miny", 1);
  this->dispatcher.Cancel(ticket);
  this->SetLimit(0);
  REQUIRE(RunUntil([this] { return this->Pool().IdleCount() == 1; }));
  this->dispatcher.CloseIdle(MonotonicNow());
  CHECK(this->Pool().ConnectionCount() == 0);
}

namespace {

/// The same with paced starts, and with a second server that nothing is sent to. Up to five
/// connections are allowed.
class PacedDispatcher : public DispatcherWithTwoConnections
{
public:
  explicit PacedDispatcher(bool aPacesStarts = true)
    : DispatcherWithTwoConnections(aPacesStarts)
  {
    this->SetBackend("i-2", 1);
    this->SetLimit(5);
  }

  /// Requests four connections, and once the first of them is in use, one for the most urgent
  /// class. Returns the number of those that come.
  std::size_t PlaceFive()
  {
    for (const char* name : { "a", "b", "c", "d" }) {
      this->Request(name, "", 1);
    }
    this->WaitFor("a");
    this->Request("urgent", "", 0);
    this->WaitFor("urgent");
    RunUntil([this] { return this->Pool().OpeningCount() == 0; });
    QCoreApplication::processEvents();
    return this->placed.size();
  }
  void Answer(Duration aTook)
  {
    StatementResult result;
    result.took = aTook;
    this->Pool().RecordRelayedResult(result, MonotonicNow());
  }
};

} // namespace

// Guards against a server that has just started and gets all statements that wait.
TEST_CASE_METHOD(PacedDispatcher,
                 "A server that was restarted gets few statements at first",
                 "[pace]")
{
  // At the start of the proxy every server is new to it, but not to others.
  CHECK_FALSE(this->Pool().IsPaced());
  this->SetBackend("i-1", 2);
  REQUIRE(this->Pool().IsPaced());
  CHECK(this->PlaceFive() == 2);
  CHECK(this->IsPlaced("urgent"));
  CHECK(this->Pool().OpenedCount() == 2);
  for (int answer = 0; answer < 5; ++answer) {
    this->Answer(20ms);
  }
  CHECK_FALSE(this->Pool().IsPaced());
  CHECK(RunUntil([this] { return this->placed.size() == 5; }));
}

// Guards against a change of behaviour in deployments that have not asked for it.
TEST_CASE("Without paced starts a server that was restarted gets all statements at once", "[pace]")
{
  PacedDispatcher fixture(false);
  fixture.SetBackend("i-1", 2);
  CHECK_FALSE(fixture.Pool().IsPaced());
  CHECK(fixture.PlaceFive() == 5);
}

TEST_CASE_METHOD(PacedDispatcher, "A server that is new to the proxy is paced", "[pace]")
{
  this->SetBackend("i-3", 1);
  CHECK(this->dispatcher.Pools().at("i-3")->IsPaced());
  CHECK_FALSE(this->Pool().IsPaced());
}

// Guards against a service that is throttled after a power loss, when there is nowhere else to go.
TEST_CASE_METHOD(PacedDispatcher,
                 "If all servers of a service have started, the first answer opens them",
                 "[pace]")
{
  this->SetBackend("i-1", 2);
  this->SetBackend("i-2", 2);
  CHECK(this->PlaceFive() == 2);
  this->Answer(20ms);
  CHECK(RunUntil([this] { return this->placed.size() == 5; }));
  CHECK_FALSE(this->Pool().IsPaced());
}

// Guards against requests of other proxies that are limited twice, here and at their relay.
TEST_CASE_METHOD(PacedDispatcher, "A proxy without connections of its own has no limit", "[pace]")
{
  this->SetBackend("i-1", 2);
  this->Pool().AddAwaited();
  CHECK_FALSE(this->Pool().PaceAllows(1, MonotonicNow()));
  this->dispatcher.ApplyGrant({ "i-1", 0, { FreeAddress() } });
  CHECK(this->Pool().PaceAllows(1, MonotonicNow()));
}

// Guards against a limit after each short disturbance, and against none after a long one.
TEST_CASE_METHOD(PacedDispatcher, "A server is paced if it recovers after a long failure", "[pace]")
{
  StatementResult result;
  result.took = 20ms;
  for (const auto& [name, failure] :
       std::map<std::string, Duration>{ { "a", 700ms }, { "b", 900ms } }) {
    this->Request(name, "", 1);
    REQUIRE(this->WaitFor(name));
    CHECK_FALSE(this->Pool().IsPaced());
    this->Pool().Drop(this->placed.at(name), true);
    this->Pool().RecordRelayedResult(result, MonotonicNow() + failure);
    CHECK(this->Pool().IsPaced() == (failure > 800ms));
  }
}
