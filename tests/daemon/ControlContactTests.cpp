#include "oleanderledge/daemon/daemon.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

class ProxyInContact
{
public:
  ProxyInContact()
    : contact(MakeSelf(), { "127.0.0.1:1", "127.0.0.1:2" }, {})
  {
    this->Answer(3);
    this->contact.HandleUpdate({ 0, 3, {}, {} });
  }

  /// Sends a heartbeat and has it answered at once.
  void Answer(std::uint64_t aCommittedVersion)
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

TEST_CASE_METHOD(ProxyInContact, "A proxy is ready once it has the leader's committed version")
{
  CHECK(this->contact.IsReady(this->now));
  this->Answer(5);
  CHECK_FALSE(this->contact.IsReady(this->now));
  this->contact.HandleUpdate({ 3, 5, {}, {} });
  CHECK(this->contact.IsReady(this->now));
}

// Guards against a proxy that goes on with an old configuration after it was cut off.
TEST_CASE_METHOD(ProxyInContact, "A proxy without contact for a lease length is not ready")
{
  CHECK(this->contact.IsReady(this->now + 1s));
  CHECK_FALSE(this->contact.IsReady(this->now + 1001ms));
  CHECK(this->contact.IsOutOfContact(this->now + 1001ms));
}

// Guards against leases granted to an earlier process at the same address.
TEST_CASE_METHOD(ProxyInContact, "A reply to another incarnation is not accepted")
{
  HeartbeatReply reply;
  reply.instance = "mora-entry-1";
  reply.incarnation = 76;
  reply.sequence = 1;
  reply.sentUs = ToMicroseconds(this->now);
  reply.accepted = true;
  CHECK_FALSE(this->contact.HandleReply(reply, this->now));
}

// Guards against a proxy that stays with a control instance which has lost its leader.
TEST_CASE_METHOD(ProxyInContact, "A silent control address is left for the next one")
{
  const std::string first = this->contact.AddressAt(this->now);
  CHECK(this->contact.AddressAt(this->now + 400ms) == first);
  const std::string second = this->contact.AddressAt(this->now + 500ms);
  CHECK(second != first);
  CHECK(this->contact.AddressAt(this->now + 1000ms) == first);
}
