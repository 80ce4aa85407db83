#include "oleanderledge/transport/transport.hpp"
#include "tests/control/HttpTestClient.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

InstanceInfo Instance(const std::string& aId, InstanceRole aRole = InstanceRole::Proxy)
{
  InstanceInfo info;
  info.id = aId;
  info.role = aRole;
  return info;
}

/// A server with low limits, and a peer that connects to it.
struct LinkServerFixture : WithApplication
{
  LinkServerFixture()
    : server(Instance("server"), EmulatedLatency{}, nullptr)
    , budget(std::make_shared<ResourceBudget>(BudgetLimits{}))
  {
    LinkLimits limits;
    limits.connections = 2;
    limits.frameBytes = kFrameBytes;
    limits.frameTime = std::chrono::milliseconds(200);
    limits.silence = std::chrono::milliseconds(500);
    this->server.SetLimits(limits, this->budget);
    REQUIRE(this->server.Listen(this->address));
  }

  std::unique_ptr<LinkConnection> Connect(const InstanceInfo& aSelf) const
  {
    return std::make_unique<LinkConnection>(aSelf, this->address, EmulatedLatency{}, nullptr);
  }
  /// A frame whose body has about this size.
  static Message MessageOf(std::size_t aBytes)
  {
    RelayedHeartbeats message;
    message.heartbeats.emplace_back().instance.id = std::string(aBytes, 'x');
    return message;
  }
  std::uint64_t ClosedFor(ClosingReason aReason) const
  {
    const auto counts = this->budget->ClosingCounts();
    const auto found = counts.find(aReason);
    return found == counts.end() ? 0 : found->second;
  }

  static constexpr std::size_t kFrameBytes = 10'000;
  std::string address = FreeAddress();
  LinkServer server;
  std::shared_ptr<ResourceBudget> budget;
};

} // namespace

// Guards against large frames of peers that are not control instances.
TEST_CASE_METHOD(LinkServerFixture, "A link closes at a frame over its limit", "[link_limits]")
{
  const auto peer = this->Connect(Instance("proxy-1"));
  REQUIRE(WaitUntil([&] { return peer->IsReady(); }));
  peer->Send(MessageOf(kFrameBytes));
  CHECK(WaitUntil([&] { return peer->IsClosed(); }));
  CHECK(this->ClosedFor(ClosingReason::MessageTooLarge) == 1);
}

// Guards against a limit that stops the log of the control group.
TEST_CASE_METHOD(LinkServerFixture, "Control instances may send large frames", "[link_limits]")
{
  const auto peer = this->Connect(Instance("control-2", InstanceRole::Control));
  bool isReceived = false;
  QObject::connect(&this->server, &LinkServer::Accepted, [&isReceived](LinkConnection* aLink) {
    QObject::connect(aLink, &LinkConnection::Received, [&isReceived] { isReceived = true; });
  });
  REQUIRE(WaitUntil([&] { return peer->IsReady(); }));
  peer->Send(MessageOf(kFrameBytes * 100));
  CHECK(WaitUntil([&] { return isReceived; }));
}

// Guards against links that are kept although nothing arrives.
TEST_CASE_METHOD(LinkServerFixture, "A silent link is closed", "[link_limits]")
{
  const auto peer = this->Connect(Instance("proxy-1"));
  REQUIRE(WaitUntil([&] { return peer->IsReady(); }));
  CHECK(WaitUntil([&] { return peer->IsClosed(); }));
}

// Guards against a flood of links that closes those in use.
TEST_CASE_METHOD(LinkServerFixture, "Links in use stay open at the limit", "[link_limits]")
{
  const auto first = this->Connect(Instance("proxy-1"));
  const auto second = this->Connect(Instance("proxy-2"));
  REQUIRE(WaitUntil([&] { return first->IsReady() && second->IsReady(); }));
  const auto third = this->Connect(Instance("proxy-3"));
  CHECK(WaitUntil([&] { return third->IsClosed(); }));
  CHECK_FALSE(first->IsClosed());
  CHECK_FALSE(second->IsClosed());
  CHECK(this->ClosedFor(ClosingReason::Connections) == 1);
}

// Guards against names that are stored and logged at any length.
TEST_CASE_METHOD(LinkServerFixture, "A Hello with a long name is refused", "[link_limits]")
{
  const auto peer = this->Connect(Instance(std::string(256, 'x')));
  CHECK(WaitUntil([&] { return peer->IsClosed(); }));
  CHECK(this->ClosedFor(ClosingReason::MalformedMessage) == 1);
}
