#include "oleanderledge/control/ControlCommand.hpp"
#include "oleanderledge/control/control.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

/// A leader that has just been elected, with six registered proxies.
class NewLeader
{
public:
  NewLeader()
    : leader(this->state, ControlTimings{})
  {
    for (int number = 0; number < 6; ++number) {
      InstanceInfo proxy;
      proxy.id = "proxy-" + std::to_string(number);
      proxy.incarnation = 1;
      proxy.role = InstanceRole::Proxy;
      proxy.linkAddress = "address-" + std::to_string(number);
      this->proxies.push_back(proxy);
      this->state.Apply(++this->index, EncodeCommand(RegisterInstance{ proxy }));
    }
    ControlActions actions;
    this->leader.OnLeadershipGained(this->now, actions);
  }

  void Report(InstanceInfo aProxy)
  {
    Heartbeat heartbeat;
    heartbeat.instance = std::move(aProxy);
    heartbeat.sequence = 1;
    ControlActions actions;
    this->leader.OnHeartbeat(heartbeat, true, this->now, actions);
  }

  ControlState state;
  ControlLeader leader;
  std::vector<InstanceInfo> proxies;
  std::uint64_t index = 0;
  Instant now{ 100s };
};

} // namespace

// Guards against proxies that take the first few of many to report for the whole fleet, and open
// more connections than backend servers accept.
TEST_CASE_METHOD(NewLeader, "Registered proxies count as alive until a new leader could have heard")
{
  CHECK(this->leader.CountProxies(this->now) == 6);
  this->proxies[0].incarnation = 2;
  this->Report(this->proxies[0]);
  this->Report(this->proxies[1]);
  CHECK(this->leader.CountProxies(this->now + 1100ms) == 6);
  this->now += 1100ms;
  this->proxies[0].incarnation = 3;
  this->Report(this->proxies[0]);
  CHECK(this->leader.CountProxies(this->now + 200ms) == 1);
}

TEST_CASE_METHOD(NewLeader, "A leaving proxy does not count")
{
  this->proxies[0].leaving = true;
  this->Report(this->proxies[0]);
  CHECK(this->leader.CountProxies(this->now) == 5);
}
