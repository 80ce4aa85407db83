#include "oleanderledge/platform/ReadinessServer.hpp"
#include "oleanderledge/transport/transport.hpp"
#include "tests/control/HttpTestClient.hpp"
#include "tests/statements/ServiceWithReplicas.hpp"
#include "tests/transport/NoFreeDescriptors.hpp"
#include "tests/transport/UnacceptedConnection.hpp"

using namespace oleanderledge;

namespace {

constexpr int kHttpOk = 200;

/// Lets a server run while it has a connection to accept and the process has no descriptor for it.
void LackDescriptorsAt(const std::string& aAddress)
{
  const test::UnacceptedConnection waiting;
  const test::NoFreeDescriptors limit;
  waiting.Connect(aAddress);
  const Instant end = MonotonicNow() + std::chrono::milliseconds(200);
  WaitUntil([end] { return MonotonicNow() >= end; });
}

class AcceptRetryFixture : protected WithApplication
{};

} // namespace

// Guards against ports that accept no connection any more after a lack of file descriptors.
TEST_CASE_METHOD(AcceptRetryFixture,
                 "A link server accepts again after descriptors were lacking",
                 "[transport]")
{
  InstanceInfo info;
  info.id = "control-1";
  info.linkAddress = FreeAddress();
  LinkServer server(info, EmulatedLatency{}, nullptr);
  REQUIRE(server.Listen(info.linkAddress));
  bool isAccepted = false;
  QObject::connect(&server, &LinkServer::Accepted, &server, [&isAccepted] { isAccepted = true; });
  LackDescriptorsAt(info.linkAddress);
  InstanceInfo peer;
  peer.id = "control-2";
  const LinkConnection link(peer, info.linkAddress, EmulatedLatency{}, nullptr);
  CHECK(WaitUntil([&isAccepted] { return isAccepted; }));
}

TEST_CASE_METHOD(AcceptRetryFixture,
                 "An HTTP server answers again after descriptors were lacking",
                 "[transport]")
{
  platform::ReadinessServer server([] { return true; }, nullptr);
  const std::string address = FreeAddress();
  REQUIRE(server.Listen(address));
  LackDescriptorsAt(address);
  HttpTestClient client;
  CHECK(client.Request(address, "/api/readiness").status == kHttpOk);
}

TEST_CASE_METHOD(AcceptRetryFixture,
                 "A proxy serves new callers again after descriptors were lacking",
                 "[transport]")
{
  test::ServiceWithReplicas fixture;
  LackDescriptorsAt(fixture.address);
  const test::Caller caller(fixture.address, "glaze");
  CHECK(caller.startUpAnswer == "READY I -\r\n");
}
