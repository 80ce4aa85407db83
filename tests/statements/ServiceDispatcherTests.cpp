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
  DispatcherWithTwoConnections()
    : database(this->group, "i-1")
    , relayClient({}, nullptr)
    , dispatcher(this->protocol, "ledger", "east/a", this->relayClient, nullptr)
  {
    this->group.service = "ledger";
    this->group.primary = "i-1";
    Directory directory;
    DirectoryUpdate update;
    update.version = 1;
    update.services = { { "ledger", 10, 0, 1, false } };
    update.backends = {
      { "i-1", "ledger", this->database.Listen(), "a", 3, true, false, 1, 1, 1, false }
    };
    directory.Apply(update);
    this->dispatcher.ApplyDirectory(directory, {}, 1, {});
    this->SetLimit(2);
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
