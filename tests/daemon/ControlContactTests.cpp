#include "oleanderledge/daemon/daemon.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

class ConnectedProxy
{
public:
  ConnectedProxy()
    : contact(MakeSelf(), { "127.0.0.1:1", "127.0.0.1:2" }, {})
  {
    this->ExchangeHeartbeat(3);
    this->contact.HandleUpdate({ 0, 3, {}, {} });
  }

  /// Builds a heartbeat and handles an accepted reply to it, both at `now`.
  void ExchangeHeartbeat(std::uint64_t aCommittedVersion)
  {
    const Heartbeat sent = this->contact.MakeHeartbeat({}, {}, this->now);
    HeartbeatReply reply;
    reply.instance = sent.instance.id;
    reply.incarnation = sent.instance.incarnation;
    reply.sequence = sent.sequence;
    reply.sentUs = sent.sentUs;
    reply.accepted = true;
    reply.committedVersion = aCommittedVersion;
    REQUIRE(this->contact.HandleReply(reply, this->now));
  }

  ControlContact contact;
  Instant now{ 10s };

private:
  static InstanceInfo MakeSelf()
  {
    InstanceInfo self;
    self.id = "mora-entry-1";
    self.incarnation = 77;
    return self;
  }
};

} // namespace

TEST_CASE_METHOD(ConnectedProxy, "A proxy is ready once it has the leader's committed version")
{
  CHECK(this->contact.IsReady(this->now));
  this->ExchangeHeartbeat(5);
  CHECK_FALSE(this->contact.IsReady(this->now));
  this->contact.HandleUpdate({ 3, 5, {}, {} });
  CHECK(this->contact.IsReady(this->now));
}

// Guards against a proxy that keeps serving with an old configuration after it was partitioned from
// the control group.
TEST_CASE_METHOD(ConnectedProxy, "A proxy without contact for a lease length is not ready")
{
  CHECK(this->contact.IsReady(this->now + 1s));
  CHECK_FALSE(this->contact.IsReady(this->now + 1001ms));
  CHECK(this->contact.IsOutOfContact(this->now + 1001ms));
}

// Guards against use of leases that were granted to an earlier process of the same instance.
TEST_CASE_METHOD(ConnectedProxy, "A reply to another incarnation is not accepted")
{
  HeartbeatReply reply;
  reply.instance = "mora-entry-1";
  reply.incarnation = 76;
  reply.sequence = 1;
  reply.sentUs = ToMicroseconds(this->now);
  reply.accepted = true;
  CHECK_FALSE(this->contact.HandleReply(reply, this->now));
}

// Guards against a proxy that stays connected to a control instance which has lost its leader.
TEST_CASE_METHOD(ConnectedProxy,
                 "The next control address is used after the current one gives no reply")
{
  const std::string first = this->contact.SelectAddress(this->now);
  this->contact.HandleLinkReady(this->now);
  CHECK(this->contact.SelectAddress(this->now + 400ms) == first);
  const std::string second = this->contact.SelectAddress(this->now + 500ms);
  CHECK(second != first);
  this->contact.HandleLinkReady(this->now + 500ms);
  CHECK(this->contact.SelectAddress(this->now + 1000ms) == first);
}

// Guards against a proxy that starts before the control instances and waits 0.6 s for the link to
// one that has no power, while others could serve it.
TEST_CASE_METHOD(ConnectedProxy, "The next control address is used soon if no link becomes ready")
{
  const std::string first = this->contact.SelectAddress(this->now);
  CHECK(this->contact.NextInterval() == 50ms);
  CHECK(this->contact.SelectAddress(this->now + 150ms) == first);
  CHECK(this->contact.SelectAddress(this->now + 151ms) != first);
  SECTION("each address in turn gets more time")
  {
    CHECK(this->contact.SelectAddress(this->now + 451ms) != first);
    CHECK(this->contact.SelectAddress(this->now + 452ms) == first);
    CHECK(this->contact.SelectAddress(this->now + 1052ms) == first);
    CHECK(this->contact.NextInterval() == 200ms);
  }
  SECTION("a link that is ready ends it")
  {
    this->contact.HandleLinkReady(this->now + 200ms);
    CHECK(this->contact.SelectAddress(this->now + 650ms) != first);
    CHECK(this->contact.SelectAddress(this->now + 651ms) == first);
    CHECK(this->contact.NextInterval() == 50ms);
  }
}

// Guards against proxies that leave their control instance just when a leader has been elected, and
// wait for another link.
TEST_CASE("A proxy that starts stays with a control instance that has no leader yet")
{
  InstanceInfo self;
  self.id = "mora-entry-1";
  ControlContact contact(self, { "127.0.0.1:1", "127.0.0.1:2" }, {});
  const Instant start{ 10s };
  const std::string first = contact.SelectAddress(start);
  contact.HandleLinkReady(start);
  Instant now = start;
  const auto reply = [&contact, &now](bool aIsAccepted) {
    const Heartbeat sent = contact.MakeHeartbeat({}, {}, now);
    HeartbeatReply answer;
    answer.instance = sent.instance.id;
    answer.sequence = sent.sequence;
    answer.sentUs = sent.sentUs;
    answer.accepted = aIsAccepted;
    return contact.HandleReply(answer, now);
  };
  for (now = start; now <= start + 1400ms; now += 200ms) {
    CHECK_FALSE(reply(false));
    CHECK(contact.SelectAddress(now) == first);
  }
  SECTION("not for ever")
  {
    CHECK_FALSE(reply(false));
    CHECK(contact.SelectAddress(now) != first);
  }
  SECTION("not if it falls silent")
  {
    CHECK(contact.SelectAddress(start + 1851ms) != first);
  }
  SECTION("nor once it had a leader, as it may be cut off from the others")
  {
    now = start + 1450ms;
    CHECK(reply(true));
    now = start + 1901ms;
    CHECK_FALSE(reply(false));
    CHECK(contact.SelectAddress(now) != first);
  }
}

// Guards against a proxy with one control address that takes its ready link for lost.
TEST_CASE("The only control address is kept, with its link, while there is no leader")
{
  InstanceInfo self;
  self.id = "mora-entry-1";
  ControlContact contact(self, { "127.0.0.1:1" }, {});
  const Instant start{ 10s };
  contact.SelectAddress(start);
  contact.HandleLinkReady(start);
  CHECK(contact.SelectAddress(start + 5s) == "127.0.0.1:1");
  CHECK(contact.NextInterval() == 200ms);
  contact.HandleLinkClosed(start + 6s);
  CHECK(contact.NextInterval() == 50ms);
}

// Guards against a proxy that goes on with an old configuration because its control instance
// answers, but cannot apply new ones: its disk hangs, for example.
TEST_CASE_METHOD(ConnectedProxy,
                 "The next control address is used if the current one does not bring a new version")
{
  const std::string first = this->contact.SelectAddress(this->now);
  this->contact.HandleLinkReady(this->now);
  // `config_apply_ms` of the deployments.
  const Instant end = this->now + 3000ms;
  bool isOtherUsed = false;
  while (this->now < end) {
    this->now += 200ms;
    this->ExchangeHeartbeat(5);
    isOtherUsed = isOtherUsed || this->contact.SelectAddress(this->now) != first;
  }
  CHECK(isOtherUsed);
}
