#include "tests/statements/ServiceWithReplicas.hpp"

#include <QThread>

using namespace oleanderledge;
using namespace oleanderledge::test;

namespace {

constexpr int kLongerThanValidityMs = 1400;

/// A service whose commits wait for replicas, behind a proxy that has just been in contact with the
/// control plane.
class SynchronousService : public ServiceWithReplicas
{
public:
  SynchronousService() { this->SetSyncReplicas(); }

  static void LoseContact()
  {
    QElapsedTimer elapsed;
    elapsed.start();
    RunUntil([&elapsed] { return elapsed.elapsed() > kLongerThanValidityMs; });
  }
};

} // namespace

// Guards against commits on a primary that the control plane has replaced without a proxy hearing
// of it: they were acknowledged, and its successor lacked them.
TEST_CASE("A proxy that is out of contact with the control plane commits nothing",
          "[commit_validity]")
{
  const Application application;
  SynchronousService fixture;
  Caller writer(fixture.address, "orders");
  Caller owner(fixture.address, "orders");
  REQUIRE(writer.Send("QUERY w0 WRITE a zeroth").starts_with("COMPLETE "));
  owner.Send("QUERY b1 BEGIN");
  REQUIRE(owner.Send("QUERY w1 WRITE a second").starts_with("COMPLETE "));
  SynchronousService::LoseContact();
  const std::string refusal = writer.Send("QUERY w2 WRITE a third");
  CHECK(refusal.starts_with("ERROR UNAVAIL "));
  CHECK(refusal.find("retry_after_ms=") != std::string::npos);
  CHECK(owner.Send("QUERY c1 COMMIT").starts_with("ERROR ABORTED "));
  CHECK(fixture.RunsOf("w2") == 0);
  CHECK(fixture.RunsOf("c1") == 0);
  CHECK(writer.Send("QUERY r1 READ a").find("DATAROW zeroth") != std::string::npos);
  fixture.service->SetDirectoryCurrentAt(MonotonicNow());
  CHECK(writer.Send("QUERY w3 WRITE a fourth").starts_with("COMPLETE "));
}

// Guards against refusals in services where an acknowledged commit may be lost with its primary.
TEST_CASE("A proxy that is out of contact commits where no replica confirms commits",
          "[commit_validity]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller writer(fixture.address, "orders");
  SynchronousService::LoseContact();
  CHECK(writer.Send("QUERY w1 WRITE a second").starts_with("COMPLETE "));
}

// Guards against an acknowledgement that is sent after the primary may have been replaced: the
// server confirmed the commit while the proxy was suspended.
TEST_CASE("A commit that is confirmed after the contact was lost has an unknown outcome",
          "[commit_validity]")
{
  const Application application;
  SynchronousService fixture;
  Caller caller(fixture.address, "orders");
  REQUIRE(caller.Send("QUERY w0 WRITE a zeroth").starts_with("COMPLETE "));
  fixture.service->SetDirectoryCurrentAt(MonotonicNow());
  fixture.primary.onNewWork = [](const std::string&) { QThread::msleep(kLongerThanValidityMs); };
  CHECK(caller.Send("QUERY w1 WRITE a second").starts_with("ERROR UNKNOWN "));
  CHECK(fixture.RunsOf("w1") == 1);
}

// Guards against the same where the proxy has heard of the successor before the answer arrives.
TEST_CASE("A commit that is confirmed after its primary was replaced has an unknown outcome",
          "[commit_validity]")
{
  const Application application;
  SynchronousService fixture;
  Caller caller(fixture.address, "orders");
  REQUIRE(caller.Send("QUERY w0 WRITE a zeroth").starts_with("COMPLETE "));
  fixture.primary.onNewWork = [&fixture](const std::string&) {
    ++fixture.version;
    fixture.update.primaries = {
      { "ledger", "i-near", PrimaryPhase::Steady, fixture.version, "", fixture.version }
    };
    fixture.Publish();
  };
  CHECK(caller.Send("QUERY w1 WRITE a second").starts_with("ERROR UNKNOWN "));
  CHECK(fixture.RunsOf("w1") == 1);
}
