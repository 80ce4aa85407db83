#include "oleanderledge/control/internal/ControlDaemon.hpp"

#include "tests/control/HttpTestClient.hpp"

#include <catch2/catch.hpp>

#include <QJsonArray>
#include <QTcpSocket>
#include <QTemporaryDir>
#include <QTimer>

#include <array>

using namespace oleanderledge;

namespace {

constexpr std::size_t kMemberCount = 3;

/// Three control daemons on loopback with data folders, and one proxy link.
class GroupFixture : private WithApplication
{
public:
  GroupFixture()
  {
    for (std::size_t i = 0; i < kMemberCount; ++i) {
      ControlSettings& own = this->settings[i];
      own.instance = { "control-" + std::to_string(i + 1),
                       i + 1,
                       InstanceRole::Control,
                       "dalarna/mora-1",
                       FreeAddress(),
                       FreeAddress(),
                       false };
      own.dataFolder = (this->folders[i].path() + "/data").toStdString();
    }
    for (ControlSettings& own : this->settings) {
      for (const ControlSettings& other : this->settings) {
        own.initialMembers.push_back({ "", other.instance.id, other.instance.linkAddress, true });
        if (other.instance.id != own.instance.id) {
          own.peers.push_back(other.instance.linkAddress);
        }
      }
    }
    for (std::size_t i = 0; i < kMemberCount; ++i) {
      this->StartMember(i);
    }
  }

  void StartMember(std::size_t aMember)
  {
    this->daemons[aMember] = std::make_unique<ControlDaemon>(this->settings[aMember], nullptr);
    REQUIRE(this->daemons[aMember]->Start());
  }

  HttpAnswer Request(std::size_t aMember, const std::string& aPath, const QByteArray& aBody = {})
  {
    return this->http.Request(this->settings[aMember].instance.httpAddress, aPath, aBody);
  }

  /// Sends a class change, and repeats it with the same request id while the group has no leader,
  /// as operators do.
  HttpAnswer SendClassChange(std::size_t aMember, const QByteArray& aBody)
  {
    constexpr int kUnavailable = 503;
    HttpAnswer answer;
    WaitUntil([&] {
      answer = this->Request(aMember, "/v1/classes", aBody);
      return answer.status != kUnavailable;
    });
    return answer;
  }

  /// Index of the leader according to a member, or kMemberCount.
  std::size_t LeaderAsSeenBy(std::size_t aMember)
  {
    const QString leader = this->Request(aMember, "/v1/status").body["leader"].toString();
    for (std::size_t i = 0; i < kMemberCount; ++i) {
      if (leader.toStdString() == this->settings[i].instance.id) {
        return i;
      }
    }
    return kMemberCount;
  }

  std::array<QTemporaryDir, kMemberCount> folders;
  std::array<ControlSettings, kMemberCount> settings;
  std::array<std::unique_ptr<ControlDaemon>, kMemberCount> daemons;
  HttpTestClient http;
};

QByteArray CreateClassBody(const char* aName, std::int64_t aVersion)
{
  return QByteArray(R"({"action":"create","target_ms":50,"name":")") + aName +
         R"(","request_id":"id-)" + aName + R"(","version":)" +
         QByteArray::number(qlonglong(aVersion)) + "}";
}

} // namespace

// Guards against lost or repeated changes: a request that is resent after the loss of the leader,
// or after a restart of all members, gets its first answer, and no accepted change is lost.
TEST_CASE(
  "A group gives a resent request its first answer after the loss of the leader and a restart")
{
  GroupFixture fixture;
  REQUIRE(WaitUntil([&] { return fixture.LeaderAsSeenBy(0) < kMemberCount; }));
  const std::size_t leader = fixture.LeaderAsSeenBy(0);
  const std::size_t follower = (leader + 1) % kMemberCount;
  REQUIRE(WaitUntil([&] { return fixture.LeaderAsSeenBy(follower) == leader; }));
  const HttpAnswer first = fixture.SendClassChange(follower, CreateClassBody("bookings", 0));
  REQUIRE(first.status == 200);

  fixture.daemons[leader].reset();
  REQUIRE(WaitUntil([&] {
    const std::size_t next = fixture.LeaderAsSeenBy(follower);
    return next < kMemberCount && next != leader;
  }));
  CHECK(fixture.SendClassChange(follower, CreateClassBody("bookings", 0)).body == first.body);
  const HttpAnswer second = fixture.SendClassChange(
    follower, CreateClassBody("reprints", first.body["version"].toInteger()));
  REQUIRE(second.status == 200);

  for (auto& daemon : fixture.daemons) {
    daemon.reset();
  }
  for (std::size_t i = 0; i < kMemberCount; ++i) {
    fixture.StartMember(i);
  }
  REQUIRE(WaitUntil([&] { return fixture.LeaderAsSeenBy(0) < kMemberCount; }));
  // The request id of an earlier request with other content is rejected.
  CHECK(fixture.SendClassChange(0, CreateClassBody("reprints", 0)).status == 422);
  CHECK(fixture.SendClassChange(0, CreateClassBody("reprints", first.body["version"].toInteger()))
          .body == second.body);
  CHECK(fixture.Request(0, "/v1/classes").body["version"] == second.body["version"]);
}

// Guards against a crash: the answer must not be written to the socket of a client that
// disconnected before it, because that socket does not exist any more.
TEST_CASE("A client that disconnects before the answer does not crash the group")
{
  GroupFixture fixture;
  REQUIRE(WaitUntil([&] { return fixture.LeaderAsSeenBy(0) < kMemberCount; }));
  const QByteArray body = CreateClassBody("bookings", 0);
  for (const ControlSettings& member : fixture.settings) {
    const auto [host, port] = SplitAddress(member.instance.httpAddress);
    QTcpSocket client;
    client.connectToHost(QString::fromStdString(host), port);
    REQUIRE(client.waitForConnected());
    client.write("POST /v1/classes HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                 QByteArray::number(body.size()) + "\r\n\r\n" + body);
    client.waitForBytesWritten();
    client.abort();
  }
  CHECK(fixture.SendClassChange(0, body).status == 200);
  CHECK(fixture.Request(0, "/v1/config/history").body["history"].toArray().size() == 1);
}

// Guards the relay of heartbeats: a proxy that is linked only to a follower gets the leader's
// replies and newly committed rows.
TEST_CASE("A proxy connected to a follower gets accepted heartbeats and committed rows")
{
  GroupFixture fixture;
  REQUIRE(WaitUntil([&] { return fixture.LeaderAsSeenBy(0) < kMemberCount; }));
  const std::size_t follower = (fixture.LeaderAsSeenBy(0) + 1) % kMemberCount;
  const InstanceInfo proxy{
    "proxy-1", 7, InstanceRole::Proxy, "dalarna/mora-1", "127.0.0.1:1", "127.0.0.1:2", false
  };
  LinkConnection link(
    proxy, fixture.settings[follower].instance.linkAddress, EmulatedLatency{}, nullptr);
  Directory directory;
  int acceptedReplies = 0;
  QObject::connect(&link, &LinkConnection::Received, &link, [&](const Message& aMessage) {
    if (const auto* update = std::get_if<DirectoryUpdate>(&aMessage)) {
      directory.Apply(*update);
    } else if (const auto* reply = std::get_if<HeartbeatReply>(&aMessage)) {
      acceptedReplies += reply->accepted ? 1 : 0;
    }
  });
  QTimer heartbeatTimer;
  std::uint64_t sequence = 0;
  QObject::connect(&heartbeatTimer, &QTimer::timeout, &link, [&] {
    Heartbeat heartbeat;
    heartbeat.instance = proxy;
    heartbeat.sequence = ++sequence;
    heartbeat.directoryVersion = directory.Version();
    link.Send(heartbeat);
  });
  heartbeatTimer.start(50);
  REQUIRE(WaitUntil([&] { return acceptedReplies >= 3; }));
  REQUIRE(fixture.SendClassChange(follower, CreateClassBody("bookings", 0)).status == 200);
  CHECK(WaitUntil([&] { return directory.FindClass("bookings") != nullptr; }));
}

// Guards the relay of requests for tokens: a proxy that is linked only to a follower gets the
// tokens that the leader granted.
TEST_CASE("A proxy connected to a follower gets tokens of the leader")
{
  GroupFixture fixture;
  REQUIRE(WaitUntil([&] { return fixture.LeaderAsSeenBy(0) < kMemberCount; }));
  const std::size_t leader = fixture.LeaderAsSeenBy(0);
  const std::size_t follower = (leader + 1) % kMemberCount;
  RouteConfiguration configuration;
  configuration.number = 1;
  configuration.usesOrganisations = true;
  configuration.organisations.resize(1);
  configuration.organisations[0].name = "miny";
  configuration.organisations[0].rate = { true, 10'000, 40 };
  bool isStored = false;
  REQUIRE(WaitUntil([&] { return fixture.daemons[leader]->LeaderIpAddress() == "127.0.0.1"; }));
  fixture.daemons[leader]->StoreConfiguration(
    configuration, [&isStored](ControlRequestHandler::Outcome aOutcome) {
      isStored = aOutcome == ControlRequestHandler::Outcome::Done;
    });
  REQUIRE(WaitUntil([&isStored] { return isStored; }));
  const InstanceInfo proxy{
    "proxy-1", 7, InstanceRole::Proxy, "dalarna/mora-1", "127.0.0.1:1", "127.0.0.1:2", false
  };
  LinkConnection link(
    proxy, fixture.settings[follower].instance.linkAddress, EmulatedLatency{}, nullptr);
  std::optional<TokenReply> tokens;
  QObject::connect(&link, &LinkConnection::Received, &link, [&](const Message& aMessage) {
    const auto* reply = std::get_if<TokenReply>(&aMessage);
    // Requests that were sent before the first reply may have used up the tokens.
    if (reply != nullptr && reply->accepted && !tokens) {
      tokens = *reply;
    }
  });
  Heartbeat heartbeat;
  heartbeat.instance = proxy;
  heartbeat.sequence = 1;
  link.Send(heartbeat);
  std::uint64_t sequence = 0;
  REQUIRE(WaitUntil([&] {
    link.Send(TokenRequest{ "proxy-1", 7, ++sequence, 11, { { "miny", 1 } } });
    return tokens.has_value();
  }));
  CHECK(tokens->instance == "proxy-1");
  REQUIRE(tokens->grants.size() == 1);
  CHECK(tokens->grants[0].tokens == 1);
}
