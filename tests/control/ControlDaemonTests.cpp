#include "oleanderledge/control/internal/ControlDaemon.hpp"
#include "tests/control/LocalGroup.hpp"

#include "tests/control/FakeBackends.hpp"
#include "tests/control/HttpTestClient.hpp"

#include <catch2/catch.hpp>

#include <QJsonArray>
#include <QJsonDocument>

using namespace oleanderledge;

namespace {

ControlMember OnlyMember()
{
  return { "m1", "control-1", "127.0.0.1:1", true };
}

/// A member that has restored a stored state, with one class, and has not heard of a leader yet.
class RestoredGroup : public LocalGroup
{
public:
  RestoredGroup(ReplicatedState& aState, LeadershipListener& aListener)
    : LocalGroup(OnlyMember(), aState, aListener)
    , state(aState)
  {
  }

  Result<void> Start(MessageHandler /*aOnMessage*/, FailureHandler /*aOnFailure*/) override
  {
    this->state.Apply(1, EncodeCommand(ChangeClass{ "r1", ClassAction::Create, "old", 50, 0, 0 }));
    return boost::outcome_v2::success();
  }
  void Elect() { LocalGroup::Start({}, {}); }

private:
  ReplicatedState& state;
};

/// A control group of one daemon, with one proxy link and HTTP access.
class DaemonFixture : private WithApplication
{
public:
  explicit DaemonFixture(const ControlDaemon::GroupFactory& aNewGroup =
                           [](ReplicatedState& aState, LeadershipListener& aListener) {
                             return std::make_unique<LocalGroup>(OnlyMember(), aState, aListener);
                           })
  {
    this->settings.instance = {
      "control-1", 1, InstanceRole::Control, "dalarna/mora-1", FreeAddress(), FreeAddress(), false
    };
    auto ownedBackends = std::make_unique<FakeBackends>();
    this->backends = ownedBackends.get();
    this->daemon =
      std::make_unique<ControlDaemon>(this->settings, aNewGroup, std::move(ownedBackends), nullptr);
    REQUIRE(this->daemon->Start());
  }

  HttpAnswer Request(const std::string& aPath, const QByteArray& aBody = {})
  {
    return this->http.Request(this->settings.instance.httpAddress, aPath, aBody);
  }

  /// Announces one slot with the next sequence number.
  void Announce(const char* aSlot, const char* aRole, int aTerm, const std::string& aAddress)
  {
    const QJsonObject body{ { "service", "ledger" },
                            { "database", "orders" },
                            { "slot", aSlot },
                            { "zone", "dalarna/mora-1" },
                            { "address", QString::fromStdString(aAddress) },
                            { "role", aRole },
                            { "term", aTerm },
                            { "received", 10 },
                            { "applied", 10 },
                            { "connection_limit", 25 },
                            { "departing", false },
                            { "incarnation", 5 },
                            { "sequence", ++this->sequence } };
    REQUIRE(this->Request("/v1/announcements", QJsonDocument(body).toJson(QJsonDocument::Compact))
              .status == 200);
  }

  /// Opens the link of a proxy, which then sends heartbeats with its directory version and reports.
  void ConnectProxy()
  {
    this->proxyInfo = { "proxy-1",     7,    InstanceRole::Proxy, "dalarna/mora-1", "127.0.0.1:1",
                        "127.0.0.1:2", false };
    this->link = std::make_unique<LinkConnection>(
      this->proxyInfo, this->settings.instance.linkAddress, EmulatedLatency{}, nullptr);
    QObject::connect(this->link.get(),
                     &LinkConnection::Received,
                     this->link.get(),
                     [this](const Message& aMessage) {
                       if (const auto* update = std::get_if<DirectoryUpdate>(&aMessage)) {
                         this->directory.Apply(*update);
                       } else if (const auto* reply = std::get_if<HeartbeatReply>(&aMessage)) {
                         this->lastReply = *reply;
                       } else if (const auto* tokens = std::get_if<TokenReply>(&aMessage)) {
                         this->lastTokens = *tokens;
                       }
                     });
    QObject::connect(
      &this->heartbeatTimer, &QTimer::timeout, this->link.get(), [this] { this->SendHeartbeat(); });
    this->heartbeatTimer.start(50);
  }

  void SendHeartbeat()
  {
    Heartbeat heartbeat;
    heartbeat.instance = this->proxyInfo;
    heartbeat.sequence = ++this->sequence;
    heartbeat.sentUs = ToMicroseconds(MonotonicNow());
    heartbeat.directoryVersion = this->directory.Version();
    heartbeat.owned = this->ownerReports;
    this->link->Send(heartbeat);
  }

  ControlSettings settings;
  FakeBackends* backends = nullptr;
  std::unique_ptr<ControlDaemon> daemon;
  HttpTestClient http;
  int sequence = 0;
  InstanceInfo proxyInfo;
  std::unique_ptr<LinkConnection> link;
  QTimer heartbeatTimer;
  Directory directory;
  HeartbeatReply lastReply;
  std::optional<TokenReply> lastTokens;
  std::vector<OwnerReport> ownerReports;
};

} // namespace

// Guards the path that proxies depend on, from an announcement to a lease: announcements become
// rows, an owner is assigned, rows are sent without a request, and the owner gets a lease.
TEST_CASE("A daemon with one member assigns an owner and grants its lease")
{
  DaemonFixture fixture;
  fixture.ConnectProxy();
  const bool isLeased = WaitUntil([&fixture] {
    fixture.Announce("a", "primary", 3, "127.0.0.1:101");
    fixture.Announce("b", "replica", 3, "127.0.0.1:102");
    return !fixture.lastReply.leases.empty();
  });
  REQUIRE(isLeased);
  CHECK(fixture.lastReply.leases[0].database == "orders");
  CHECK(fixture.lastReply.leases[0].term == 3);
  const DatabaseRow* row = fixture.directory.FindDatabase("orders");
  REQUIRE(row != nullptr);
  CHECK(row->owner == "proxy-1");
  CHECK(row->primary == "a");
  CHECK(row->connectionLimit == 25);
  CHECK(row->slots.size() == 2);
}

// Guards operator requests over HTTP: a change is accepted and sent to proxies, a repeat gets the
// first answer and is not applied again, and a version conflict is answered with the present
// classes.
TEST_CASE("A class change over HTTP reaches a connected proxy and a repeat gets the same answer")
{
  DaemonFixture fixture;
  fixture.ConnectProxy();
  const QByteArray create =
    R"({"action":"create","name":"bookings","target_ms":50,"version":0,"request_id":"r1"})";
  const HttpAnswer first = fixture.Request("/v1/classes", create);
  CHECK(first.status == 200);
  CHECK(fixture.Request("/v1/classes", create).body == first.body);
  const HttpAnswer conflict = fixture.Request(
    "/v1/classes",
    R"({"action":"create","name":"reprints","target_ms":900,"version":0,"request_id":"r2"})");
  CHECK(conflict.status == 409);
  CHECK(conflict.body["version"] == first.body["version"]);
  CHECK(conflict.body["classes"].toArray().size() == 1);
  REQUIRE(WaitUntil([&fixture] { return fixture.directory.FindClass("bookings") != nullptr; }));
  CHECK(WaitUntil([&fixture] {
    return fixture.Request("/v1/status").body["in_force"].toObject()["everywhere"].toBool();
  }));
  CHECK(fixture.Request("/v1/config/history").body["history"].toArray().size() == 1);
  CHECK(fixture.Request("/readyz").status == 200);
}

// Guards against proxies that use servers that have left and routes that were withdrawn: a control
// instance gave them the state of its last snapshot when it had just started.
TEST_CASE("A member that has just restarted sends no directory before its state is confirmed")
{
  RestoredGroup* group = nullptr;
  DaemonFixture fixture([&group](ReplicatedState& aState, LeadershipListener& aListener) {
    auto created = std::make_unique<RestoredGroup>(aState, aListener);
    group = created.get();
    return created;
  });
  fixture.ConnectProxy();
  REQUIRE(WaitUntil([&fixture] { return fixture.lastReply.sequence > 3; }));
  CHECK(fixture.directory.FindClass("old") == nullptr);
  group->Elect();
  CHECK(WaitUntil([&fixture] { return fixture.directory.FindClass("old") != nullptr; }));
}

// Guards an unplanned failover through links, HTTP and calls to backend servers: the owner reports
// a silent primary and releases the database, then the replica is promoted and a new lease granted.
TEST_CASE("A silent primary is replaced by its in-sync replica")
{
  DaemonFixture fixture;
  fixture.backends->statusByAddress["127.0.0.1:102"] = { false, 3, 10, 10 };
  fixture.ConnectProxy();
  REQUIRE(WaitUntil([&fixture] {
    fixture.Announce("a", "primary", 3, "127.0.0.1:101");
    fixture.Announce("b", "replica", 3, "127.0.0.1:102");
    return !fixture.lastReply.leases.empty();
  }));
  OwnerReport report;
  report.database = "orders";
  report.epoch = fixture.lastReply.leases[0].epoch;
  report.term = 3;
  report.proposedInSync = { "a", "b" };
  report.slots = { { "a", true, true, 3, 10, 10, 0 }, { "b", true, false, 3, 10, 10, 0 } };
  fixture.ownerReports = { report };
  REQUIRE(WaitUntil([&fixture] {
    fixture.Announce("a", "primary", 3, "127.0.0.1:101");
    return fixture.directory.FindDatabase("orders")->inSync.size() == 2;
  }));
  fixture.ownerReports[0].proposedInSync.clear();
  fixture.ownerReports[0].slots[0].reachable = false;
  fixture.ownerReports[0].slots[0].silentMs = 700;
  REQUIRE(WaitUntil([&fixture] {
    fixture.Announce("b", "replica", 3, "127.0.0.1:102");
    const DatabaseRow* row = fixture.directory.FindDatabase("orders");
    fixture.ownerReports[0].released = row->phase == FailoverPhase::Fencing;
    return row->primary == "b" && row->phase == FailoverPhase::Steady;
  }));
  const DatabaseRow* row = fixture.directory.FindDatabase("orders");
  CHECK(row->term == 4);
  CHECK(row->inSync == std::vector<std::string>{ "b" });
  CHECK(WaitUntil([&fixture] {
    return !fixture.lastReply.leases.empty() && fixture.lastReply.leases[0].term == 4;
  }));
}

// Guards the path of a token: the request is answered at once, not with the next heartbeat, and by
// the limit of the stored configuration.
TEST_CASE("A request for tokens is answered by the limit of the organisation")
{
  DaemonFixture fixture;
  RouteConfiguration configuration;
  configuration.number = 1;
  configuration.usesOrganisations = true;
  configuration.organisations.resize(1);
  configuration.organisations[0].name = "miny";
  configuration.organisations[0].rate = { true, 10'000, 40 };
  fixture.daemon->StoreConfiguration(configuration, [](ControlRequestHandler::Outcome aOutcome) {
    CHECK(aOutcome == ControlRequestHandler::Outcome::Done);
  });
  fixture.ConnectProxy();
  REQUIRE(WaitUntil([&fixture] { return fixture.lastReply.sequence > 0; }));
  fixture.heartbeatTimer.stop();
  fixture.link->Send(TokenRequest{ "proxy-1", 7, 3, 11, { { "miny", 2 }, { "unknown", 1 } } });
  REQUIRE(WaitUntil([&fixture] { return fixture.lastTokens.has_value(); }));
  CHECK(fixture.lastTokens->accepted);
  CHECK(fixture.lastTokens->incarnation == 7);
  CHECK(fixture.lastTokens->sequence == 3);
  CHECK(fixture.lastTokens->sentUs == 11);
  REQUIRE(fixture.lastTokens->grants.size() == 2);
  CHECK(fixture.lastTokens->grants[0].tokens == 2);
  CHECK(fixture.lastTokens->grants[1].tokens == 0);
  fixture.lastTokens.reset();
  fixture.link->Send(TokenRequest{ "proxy-1", 7, 4, 12, { { "miny", 90 } } });
  REQUIRE(WaitUntil([&fixture] { return fixture.lastTokens.has_value(); }));
  REQUIRE(fixture.lastTokens->grants.size() == 1);
  CHECK(fixture.lastTokens->grants[0].tokens < 90);
  CHECK(fixture.lastTokens->grants[0].retryAfterMs > 0);
}

// Guards Q1 against a member that grants tokens without the confirmation that it still leads.
TEST_CASE("A member without a leader accepts no request for tokens")
{
  DaemonFixture fixture([](ReplicatedState& aState, LeadershipListener& aListener) {
    return std::make_unique<RestoredGroup>(aState, aListener);
  });
  fixture.ConnectProxy();
  fixture.link->Send(TokenRequest{ "proxy-1", 7, 1, 11, { { "miny", 2 } } });
  REQUIRE(WaitUntil([&fixture] { return fixture.lastTokens.has_value(); }));
  CHECK_FALSE(fixture.lastTokens->accepted);
  CHECK(fixture.lastTokens->grants.empty());
}
