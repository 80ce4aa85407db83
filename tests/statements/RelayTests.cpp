#include "tests/statements/BusyCaller.hpp"
#include "tests/statements/ServiceWithReplicas.hpp"

using namespace oleanderledge;
using namespace oleanderledge::test;

namespace {

/// A relay with one connection to each server, and a proxy without connections that uses it.
class ProxyBehindRelay
{
public:
  /// Of `aRelaySettings` only the times of a graceful stop are used.
  explicit ProxyBehindRelay(const StatementServiceSettings& aRelaySettings = {})
    : relay(1, aRelaySettings)
    , address(FreeAddress())
    , service(ServiceWithReplicas::NewProxy("proxy-2", this->address, FreeAddress()))
  {
    this->service->ApplyDirectory(std::make_shared<Directory>(this->relay.directory));
    std::vector<ConnectionGrant> held;
    std::vector<ConnectionGrant> relayed;
    for (const std::string name : { "i-primary", "i-near", "i-far" }) {
      held.push_back({ name, 1, {} });
      relayed.push_back({ name, 0, { this->relay.linkAddress } });
    }
    this->relay.service->ApplyConnectionGrants(held);
    this->service->ApplyConnectionGrants(relayed);
    // The first caller waits for the link to the relay.
    RunUntil([this] {
      Caller first(this->address, "orders");
      return first.Send("QUERY warm READ a").starts_with("DATAROW ");
    });
  }

  ServiceWithReplicas relay;
  std::string address;
  std::unique_ptr<StatementService> service;
};

} // namespace

// Guards against proxies that reject their callers because they were granted no connections.
TEST_CASE("A proxy without connections executes statements on those of its relay", "[relay]")
{
  const Application application;
  ProxyBehindRelay proxy;
  Caller caller(proxy.address, "orders");
  CHECK(caller.Send("QUERY w1 WRITE a second").starts_with("COMPLETE signature-i-primary"));
  Caller reader(proxy.address, "catalogue");
  CHECK(reader.Send("QUERY r1 READ a").starts_with("DATAROW second"));
  // Other servers may execute reads until the relay has opened its connection to the near one.
  CHECK(RunUntil([&proxy, &reader] {
    reader.Send("QUERY r2 READ a");
    return proxy.relay.RanOn("r2") == "i-near";
  }));
  CHECK(proxy.relay.RunsOf("w1") == 1);
  CHECK(proxy.relay.primary.MostConnections() == 1);
}

TEST_CASE("A transaction through a relay holds one connection until it ends", "[relay]")
{
  const Application application;
  ProxyBehindRelay proxy;
  Caller caller(proxy.address, "orders");
  caller.Send("QUERY b1 BEGIN");
  CHECK(caller.Send("QUERY w1 WRITE a second").starts_with("COMPLETE "));
  // The relay has one connection to the primary, and its own callers queue for it too.
  Caller other(proxy.relay.address, "orders");
  CHECK(other.Send("QUERY r1 READ a").starts_with("ERROR OVERLOAD "));
  CHECK(caller.Send("QUERY c1 COMMIT").starts_with("COMPLETE signature-i-primary"));
  CHECK(other.Send("QUERY r2 READ a").starts_with("DATAROW second"));
}

// Guards against statements that are executed with the settings of a session at another proxy.
TEST_CASE("A relay learns the settings that were made on its connections", "[relay]")
{
  const Application application;
  ProxyBehindRelay proxy;
  Caller caller(proxy.address, "orders");
  caller.Send("QUERY s1 SET colour red");
  CHECK(caller.Send("QUERY r1 READ a").starts_with("DATAROW first colour=red"));
  Caller other(proxy.relay.address, "orders");
  CHECK(other.Send("QUERY r2 READ a").starts_with("DATAROW first\r\n"));
  CHECK(caller.Send("QUERY p1 PREPARE mine READ shape").starts_with("COMPLETE"));
  CHECK(caller.Send("QUERY e1 EXECUTE mine a").starts_with("DATAROW "));
  CHECK(caller.Send("QUERY e2 EXECUTE mine a").starts_with("DATAROW "));
}

// Guards against a transaction of a lost proxy that stays open, so that the next use of the
// connection runs inside it.
TEST_CASE("A relay rolls back the transaction of a proxy that is lost", "[relay]")
{
  const Application application;
  ProxyBehindRelay proxy;
  {
    Caller caller(proxy.address, "orders");
    caller.Send("QUERY b1 BEGIN");
    caller.Send("QUERY s1 SET colour red");
    caller.Send("QUERY w1 WRITE a second");
    proxy.service.reset();
  }
  Caller other(proxy.relay.address, "orders");
  CHECK(
    RunUntil([&other] { return other.Send("QUERY r1 READ a").starts_with("DATAROW first\r\n"); }));
  CHECK(proxy.relay.group.items["a"] == "first");
}

// Guards against reporting a wrong outcome to the caller, and against callers that wait for a lost
// relay.
TEST_CASE("The loss of a relay aborts open transactions and rejects new writes", "[relay]")
{
  const Application application;
  ProxyBehindRelay proxy;
  Caller caller(proxy.address, "orders");
  caller.Send("QUERY b1 BEGIN");
  caller.Send("QUERY w1 WRITE a second");
  Caller writer(proxy.address, "glaze");
  proxy.relay.service.reset();
  CHECK(caller.Send("QUERY w2 WRITE a third").starts_with("ERROR ABORTED "));
  CHECK(writer.Send("QUERY w3 WRITE a fourth").starts_with("ERROR OVERLOAD "));
  CHECK(proxy.relay.group.items["a"] == "first");
}

TEST_CASE("The outcome of a write is unknown if its relay is lost before the answer", "[relay]")
{
  const Application application;
  ProxyBehindRelay proxy;
  proxy.relay.primary.silent = true;
  QTimer::singleShot(100, [&proxy] { proxy.relay.service.reset(); });
  Caller writer(proxy.address, "orders");
  CHECK(writer.Send("QUERY w1 WRITE a second").starts_with("ERROR UNKNOWN "));
}

TEST_CASE("A stopping relay completes open transactions and rejects new requests", "[relay]")
{
  const Application application;
  ProxyBehindRelay proxy;
  Caller caller(proxy.address, "orders");
  caller.Send("QUERY b1 BEGIN");
  caller.Send("QUERY w1 WRITE a second");
  proxy.relay.service->BeginStop();
  CHECK_FALSE(proxy.relay.service->IsIdle());
  Caller late(proxy.address, "catalogue");
  CHECK(late.Send("QUERY r1 READ a").starts_with("ERROR OVERLOAD "));
  CHECK(caller.Send("QUERY c1 COMMIT").starts_with("COMPLETE signature-i-primary"));
  CHECK(RunUntil([&proxy] { return proxy.relay.service->IsIdle(); }));
}

// Guards against a COMMIT whose outcome is unknown because the relay ended while it ran: a stopping
// relay let transactions of other proxies go on until its process ended.
TEST_CASE("A stopping relay ends transactions that never pause with a promise", "[relay]")
{
  const Application application;
  ProxyBehindRelay proxy(ShortStop());
  BusyCaller caller(proxy.address, "orders", "BEGIN");
  REQUIRE(RunUntil([&caller] { return caller.answers.size() > 20; }));
  proxy.relay.service->BeginStop();
  CHECK(RunUntil([&proxy] { return proxy.relay.service->IsIdle(); }));
  CHECK(std::ranges::any_of(caller.answers,
                            [](const auto& aEach) { return aEach.second == "ERROR ABORTED"; }));
  CHECK(proxy.relay.group.items["a"] == "first");
}

// Guards against a relay that lends a connection of one organisation to a caller of another.
TEST_CASE("A relay lends connections of the caller's organisation", "[relay]")
{
  const Application application;
  ProxyBehindRelay proxy;
  proxy.relay.SetOrganisation("miny", { "key-m1" });
  proxy.relay.SetOrganisation("bela", { "key-b1" });
  proxy.service->ApplyDirectory(std::make_shared<Directory>(proxy.relay.directory));
  Caller miny(proxy.address, "orders", "key-m1");
  Caller bela(proxy.address, "orders", "key-b1");
  for (int round = 0; round < 2; ++round) {
    CHECK(miny.Send("QUERY m1 WRITE a 1").starts_with("COMPLETE "));
    CHECK(proxy.relay.group.users["m1"] == "miny");
    CHECK(bela.Send("QUERY b1 WRITE a 2").starts_with("COMPLETE "));
    CHECK(proxy.relay.group.users["b1"] == "bela");
  }
}

// Guards against heartbeats that name all servers: they cross regions and dominate their traffic.
TEST_CASE("A proxy reports nothing on healthy servers that it uses through relays", "[relay]")
{
  const Application application;
  ProxyBehindRelay proxy;
  Caller caller(proxy.address, "orders");
  CHECK(caller.Send("QUERY w1 WRITE a second").starts_with("COMPLETE "));
  CHECK(proxy.service->TakeBackendReports(MonotonicNow()).empty());
  const auto reports = proxy.relay.service->TakeBackendReports(MonotonicNow());
  CHECK(std::ranges::any_of(reports, [](const BackendReport& aEach) {
    return aEach.backend == "i-primary" && aEach.answeredMsAgo >= 0;
  }));
}

// Guards against requests of other proxies that are not counted in the pace of their relay, and
// against proxies behind a relay that limit themselves too.
TEST_CASE("A relay paces a restarted server also for the proxies that use it", "[relay][pace]")
{
  const Application application;
  StatementServiceSettings settings;
  settings.pacesStarts = true;
  ProxyBehindRelay proxy(settings);
  ++proxy.relay.version;
  BackendRow& row = proxy.relay.update.backends.front();
  row.startedUnixMs = 2;
  row.version = proxy.relay.version;
  proxy.relay.Publish();
  proxy.service->ApplyDirectory(std::make_shared<Directory>(proxy.relay.directory));
  CHECK(proxy.relay.service->Counters().pacedBackends == 1);
  CHECK(proxy.service->Counters().pacedBackends == 0);
  Caller caller(proxy.address, "orders");
  CHECK(caller.Send("QUERY w1 WRITE a second").starts_with("COMPLETE signature-i-primary"));
  // The relay may hold one connection, so an answer opens the limit fully.
  CHECK(proxy.relay.service->Counters().pacedBackends == 0);
}
