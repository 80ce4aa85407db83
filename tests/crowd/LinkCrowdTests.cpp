// Crowds at the link ports of a control instance and a proxy. Each checks that both processes live
// within their memory and descriptors, and serve ordinary requests afterwards.

#include "oleanderledge/link/link.hpp"
#include "tests/crowd/PortFleet.hpp"
#include "tests/crowd/RawCrowd.hpp"

#include <catch2/catch.hpp>

#include <memory>

using namespace oleanderledge;
using namespace oleanderledge::test;

namespace {

constexpr std::size_t kMebibyte = std::size_t{ 1024 } * 1024;

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

std::string HelloOf(const std::string& aId, InstanceRole aRole = InstanceRole::Proxy)
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

std::string LengthOf(std::size_t aBytes)
{
  std::string prefix;
  for (const unsigned shift : { 24U, 16U, 8U, 0U }) {
    prefix.push_back(static_cast<char>((aBytes >> shift) & 0xFFU));
  }
  return prefix;
}

/// A heartbeat whose report of owned databases is a list of empty arrays, one byte each.
std::string HeartbeatOfEmptyReports(std::uint32_t aCount)
{
  constexpr char kHeartbeatType = 7;
  std::string body = "\x92";
  body.push_back(kHeartbeatType);
  // An array of five fields: an empty instance, three numbers, and an array with a 32-bit length.
  body += std::string("\x95\x90\x00\x00\x00\xDD", 6) + LengthOf(aCount);
  body.append(aCount, '\x90');
  return LengthOf(body.size()) + body;
}

/// A name of this length that differs from others.
std::string LongName(std::size_t aNumber, std::size_t aBytes)
{
  std::string name = "n-" + std::to_string(aNumber) + "-";
  name.append(aBytes - name.size(), 'x');
  return name;
}

} // namespace

// Guards against frames of the largest length that are never completed, before Hello.
TEST_CASE_METHOD(PortFleet, "Link frames without end before Hello", "[link_frames]")
{
  std::vector<std::unique_ptr<RawCrowd>> crowds;
  for (const std::string& address : this->LinkAddresses()) {
    crowds.push_back(std::make_unique<RawCrowd>(address, 24));
    crowds.back()->Send({ [](std::size_t) { return LengthOf(16 * kMebibyte); },
                          std::string(65536, 'x'),
                          15 * kMebibyte });
  }
  this->CheckBounds();
  this->CheckService();
}

// Guards against the same after Hello, from peers that call themselves proxies or control
// instances.
TEST_CASE_METHOD(PortFleet, "Link frames without end after Hello", "[link_frames_after_hello]")
{
  std::vector<std::unique_ptr<RawCrowd>> crowds;
  for (const std::string& address : this->LinkAddresses()) {
    crowds.push_back(std::make_unique<RawCrowd>(address, 24));
    crowds.back()->Send(
      { [](std::size_t aConnection) {
         const auto role = aConnection % 2 == 0 ? InstanceRole::Proxy : InstanceRole::Control;
         return HelloOf("crowd-" + std::to_string(aConnection), role) + LengthOf(16 * kMebibyte);
       },
        std::string(65536, 'x'),
        15 * kMebibyte });
  }
  this->CheckBounds();
  this->CheckService();
}

// Guards against a frame whose decoded form is a hundred times larger.
TEST_CASE_METHOD(PortFleet, "A link frame of empty elements", "[link_elements]")
{
  constexpr std::uint32_t kElements = 3U << 20U;
  std::vector<std::unique_ptr<RawCrowd>> crowds;
  for (const std::string& address : this->LinkAddresses()) {
    crowds.push_back(std::make_unique<RawCrowd>(address, 1));
    std::string text = HelloOf("crowd") + HeartbeatOfEmptyReports(kElements);
    crowds.back()->Send({ [&text](std::size_t) { return text; }, "", text.size() });
    crowds.push_back(std::make_unique<RawCrowd>(address, 1));
    crowds.back()->Send(
      { [](std::size_t) { return HeartbeatOfEmptyReports(kElements); }, "", kElements });
  }
  this->CheckService();
  this->CheckBounds();
}

// Guards against descriptors that are taken by links on which nothing follows the Hello.
TEST_CASE_METHOD(PortFleet, "Links that stay silent", "[link_connections]")
{
  std::vector<std::unique_ptr<RawCrowd>> crowds;
  for (const std::string& address : this->LinkAddresses()) {
    crowds.push_back(std::make_unique<RawCrowd>(address, 400));
    crowds.back()->Send(
      { [](std::size_t aConnection) { return HelloOf("crowd-" + std::to_string(aConnection)); },
        "",
        HelloOf("crowd-0").size() });
  }
  this->CheckBounds();
  this->CheckService();
}

// Guards against replies that are held for a peer that does not read: the directory, once for each
// invented instance.
TEST_CASE_METHOD(PortFleet, "Link replies that are not read", "[link_unread]")
{
  std::string routes;
  for (int number = 0; number < 3'000; ++number) {
    routes += R"(,{"name":"r","host":"orders","path_prefix":"/)" + LongName(number, 400) +
              R"(","route_kind":"primary","timeout_ms":800,"target_latency_ms":400,)"
              R"("service":"ledger"})";
  }
  REQUIRE(this->PutConfiguration(Configuration(2, routes)) == 200);
  RawCrowd crowd(this->controlLink, 20);
  const auto heartbeats = [](std::size_t aConnection) {
    constexpr int kInstances = 12;
    const std::string name = "crowd-" + std::to_string(aConnection);
    std::string text = HelloOf(name) + HeartbeatOf(name);
    for (int instance = 1; instance < kInstances; ++instance) {
      text += HeartbeatOf(name + "-" + std::to_string(instance));
    }
    return text;
  };
  crowd.Send({ heartbeats, "", heartbeats(0).size() });
  this->CheckService();
  this->CheckBounds();
}

// Guards against answers to pings that are held for a peer that does not read.
TEST_CASE_METHOD(PortFleet, "Link pings whose answers are not read", "[link_pings]")
{
  std::string pings;
  while (pings.size() < std::size_t{ 64 } * 1024) {
    pings += EncodeFrame(LinkPing{ std::int64_t{ 1 } << 40U });
  }
  std::vector<std::unique_ptr<RawCrowd>> crowds;
  for (const std::string& address : this->LinkAddresses()) {
    crowds.push_back(std::make_unique<RawCrowd>(address, 24));
    crowds.back()->Send({ [](std::size_t aConnection) {
                           return HelloOf("crowd-" + std::to_string(aConnection),
                                          InstanceRole::Control);
                         },
                          pings,
                          16 * kMebibyte });
  }
  this->CheckBounds();
  this->CheckService();
}
