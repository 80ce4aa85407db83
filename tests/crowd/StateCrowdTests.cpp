// Crowds whose requests make a control instance store something. Each checks that both processes
// live within their memory and descriptors, and serve ordinary requests afterwards.

#include "oleanderledge/link/link.hpp"
#include "tests/crowd/PortFleet.hpp"
#include "tests/crowd/RawCrowd.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace oleanderledge::test;

namespace {

/// A name of this length that differs from others.
std::string LongName(std::size_t aNumber, std::size_t aBytes)
{
  std::string name = "n-" + std::to_string(aNumber) + "-";
  name.append(aBytes > name.size() ? aBytes - name.size() : 0, 'x');
  return name;
}

InstanceInfo Instance(const std::string& aId, InstanceRole aRole)
{
  InstanceInfo info;
  info.id = aId;
  info.incarnation = 1;
  info.role = aRole;
  info.zone = "east/near-zone";
  info.linkAddress = "127.0.0.1:9";
  info.httpAddress = "127.0.0.1:9";
  return info;
}

std::string HelloOf(const std::string& aId, InstanceRole aRole)
{
  return EncodeFrame(Hello{ kLinkProtocolVersion, Instance(aId, aRole) });
}

std::string HeartbeatOf(const std::string& aId)
{
  Heartbeat heartbeat;
  heartbeat.instance = Instance(aId, InstanceRole::Proxy);
  heartbeat.sequence = 1;
  return EncodeFrame(heartbeat);
}

/// Sends all messages over links that read the replies.
template<class MakeText>
void SendOverLinks(const std::string& aAddress, std::size_t aLinks, const MakeText& aMakeText)
{
  RawCrowd crowd(aAddress, aLinks);
  crowd.SendAndRead({ aMakeText, "", aMakeText(0).size() });
}

} // namespace

// Guards against the state growing with invented instances that have long ids.
TEST_CASE_METHOD(PortFleet, "Heartbeats of instances with long ids", "[state_long_instances]")
{
  constexpr std::size_t kLinks = 10;
  constexpr std::size_t kPerLink = 30;
  constexpr std::size_t kIdBytes = 300'000;
  SendOverLinks(this->controlLink, kLinks, [](std::size_t aLink) {
    const std::string first = LongName(aLink * kPerLink, kIdBytes);
    std::string text = HelloOf(first, InstanceRole::Proxy) + HeartbeatOf(first);
    for (std::size_t number = 1; number < kPerLink; ++number) {
      text += HeartbeatOf(LongName(aLink * kPerLink + number, kIdBytes));
    }
    return text;
  });
  this->CheckService();
  this->CheckBounds();
}

// Guards against the state growing with many invented instances.
TEST_CASE_METHOD(PortFleet, "Heartbeats of many instances", "[state_many_instances]")
{
  constexpr std::size_t kLinks = 20;
  constexpr std::size_t kPerLink = 3'000;
  constexpr std::size_t kIdBytes = 200;
  SendOverLinks(this->controlLink, kLinks, [](std::size_t aLink) {
    std::string text = HelloOf(LongName(aLink, kIdBytes), InstanceRole::Proxy);
    for (std::size_t number = 0; number < kPerLink; ++number) {
      text += HeartbeatOf(LongName((aLink + 1) * kPerLink + number, kIdBytes));
    }
    return text;
  });
  this->CheckService();
  this->CheckBounds();
}

// Guards against the state growing with registrations of invented backend servers, which every
// proxy gets.
TEST_CASE_METHOD(PortFleet, "Registrations of many servers", "[state_servers]")
{
  constexpr std::size_t kCount = 20'000;
  constexpr std::size_t kNameBytes = 200;
  RunRequests(this->controlPlane, 32, kCount, [](std::size_t aRequest) {
    const std::string address =
      "127.9." + std::to_string(aRequest / 250) + "." + std::to_string(aRequest % 250 + 1) + ":9";
    return HttpRequestText(
      "PUT",
      "/api/instances/" + LongName(aRequest, kNameBytes),
      R"({"service":"ledger","address":")" + address + R"(","zone":")" +
        LongName(aRequest, kNameBytes) +
        R"(","version":"v1","capacity":2,"state":"ready","warmup_remaining_ms":0,)"
        R"("database_role":"replica","born":1,"sequence":1})");
  });
  this->CheckService();
  this->CheckBounds();
}

// Guards against the state growing with announcements of invented databases.
TEST_CASE_METHOD(PortFleet, "Announcements of invented databases", "[state_databases]")
{
  constexpr std::size_t kCount = 400;
  constexpr std::size_t kNameBytes = 300'000;
  RunRequests(this->controlHttp, 16, kCount, [](std::size_t aRequest) {
    return HttpRequestText("POST",
                           "/v1/announcements",
                           R"([{"service":"s","database":")" + LongName(aRequest, kNameBytes) +
                             R"(","slot":"a","zone":"east/near-zone","address":"127.9.0.1:9",)"
                             R"("role":"primary","term":1,"received":1,"applied":1,)"
                             R"("connection_limit":5,"incarnation":1,"sequence":1}])");
  });
  this->CheckService();
  this->CheckBounds();
}

// Guards against the answers to class changes, which are stored: that to a change which builds on
// an old version has all classes.
TEST_CASE_METHOD(PortFleet, "Changes of many classes", "[state_classes]")
{
  constexpr int kClasses = 400;
  constexpr std::size_t kConflicts = 5'000;
  int version = 0;
  for (int number = 0; number < kClasses; ++number) {
    const std::string body = R"({"action":"create","name":")" + LongName(number, 64) +
                             R"(","target_ms":100,"request_id":"c)" + std::to_string(number) +
                             R"(","version":)" + std::to_string(version) + "}";
    const oleanderledge::HttpAnswer answer =
      this->client.Request(this->controlHttp, "/v1/classes", QByteArray::fromStdString(body));
    version = answer.body.contains("version") ? answer.body.value("version").toInt() : version;
  }
  RunRequests(this->controlHttp, 16, kConflicts, [](std::size_t aRequest) {
    return HttpRequestText("POST",
                           "/v1/classes",
                           R"({"action":"create","name":"c","target_ms":100,"request_id":")" +
                             LongName(aRequest, 128) + R"(","version":999999999})");
  });
  this->CheckService();
  this->CheckBounds();
}

// Guards against what is kept of messages of invented control instances.
TEST_CASE_METHOD(PortFleet, "Messages of invented control instances", "[state_members]")
{
  constexpr std::size_t kLinks = 10;
  constexpr std::size_t kPerLink = 20;
  constexpr std::size_t kIdBytes = 300'000;
  SendOverLinks(this->controlLink, kLinks, [](std::size_t aLink) {
    std::string text = HelloOf("crowd-" + std::to_string(aLink), InstanceRole::Control);
    for (std::size_t number = 0; number < kPerLink; ++number) {
      const std::string id = LongName(aLink * kPerLink + number, kIdBytes);
      text += EncodeFrame(JoinRequest{ Instance(id, InstanceRole::Control), id, true });
      VoteReply reply;
      reply.voter = id;
      text += EncodeFrame(reply);
    }
    return text;
  });
  this->CheckService();
  this->CheckBounds();
}
