#include "tests/statements/ServiceWithReplicas.hpp"

using namespace oleanderledge;
using namespace oleanderledge::test;

namespace {

/// One replica confirms the commits of the service, and the replica "i-far" is silent. The proxy is
/// in contact with the control plane.
class ServiceWithSilentReplica : public ServiceWithReplicas
{
public:
  ServiceWithSilentReplica()
  {
    this->SetSyncReplicas();
    this->SetSilent(true);
    QObject::connect(&this->heartbeats, &QTimer::timeout, [this] {
      this->service->SetDirectoryCurrentAt(MonotonicNow());
    });
    this->heartbeats.start(200);
  }

  void SetSilent(bool aIsSilent)
  {
    ++this->version;
    BackendRow& row = this->update.backends.back();
    row.isSilent = aIsSilent;
    row.version = this->version;
    this->Publish();
  }

  std::uint64_t SilentVersion() const
  {
    const auto reports = this->service->ReportCommits();
    return reports.empty() ? 0 : reports.front().silentVersion;
  }

private:
  QTimer heartbeats; ///< Keeps the proxy in contact with the control plane.
};

void SendLine(Caller& aCaller, const std::string& aLine)
{
  const std::string line = aLine + "\r\n";
  aCaller.socket.write(line.data(), static_cast<qint64>(line.size()));
}

std::string ReceivedWithin(Caller& aCaller, int aMilliseconds)
{
  QElapsedTimer elapsed;
  elapsed.start();
  std::string received;
  RunUntil([&] {
    received += aCaller.socket.readAll().toStdString();
    return elapsed.elapsed() > aMilliseconds;
  });
  return received;
}

} // namespace

// Guards against an acknowledged commit that only a silent replica has received: its primary takes
// that for a confirmation, and a later successor lacks the commit.
TEST_CASE("While a replica is silent, a commit is acknowledged once another one has it",
          "[witnessed_commit]")
{
  const bool inTransaction = GENERATE(false, true);
  const Application application;
  ServiceWithSilentReplica fixture;
  Caller caller(fixture.address, "orders");
  fixture.near.behind = 1;
  if (inTransaction) {
    caller.Send("QUERY b1 BEGIN");
    caller.Send("QUERY w1 WRITE a second");
    SendLine(caller, "QUERY c1 COMMIT");
  } else {
    SendLine(caller, "QUERY w1 WRITE a second");
  }
  CHECK(ReceivedWithin(caller, 300).empty());
  CHECK(fixture.group.number == 1);
  fixture.near.behind = 0;
  CHECK(ReceivedWithin(caller, 300).starts_with("COMPLETE signature-i-primary\r\nREADY I"));
  CHECK(caller.Send("QUERY w2 WRITE a third").starts_with("COMPLETE "));
  CHECK(caller.Send("QUERY r2 READ a").starts_with("DATAROW third"));
}

TEST_CASE("A commit without a witness has an unknown outcome, and is not held for ever",
          "[witnessed_commit]")
{
  const Application application;
  ServiceWithSilentReplica fixture;
  Caller caller(fixture.address, "orders");
  fixture.near.silent = true;
  // The statement times out after 2 s.
  CHECK(caller.Send("QUERY w1 WRITE a second").starts_with("ERROR TIMEOUT "));
  CHECK(fixture.RunsOf("w1") == 1);
  fixture.near.silent = false;
  CHECK(caller.Send("QUERY w2 WRITE a third").starts_with("COMPLETE "));
}

TEST_CASE("A commit is acknowledged at once when the silent replica is heard of again",
          "[witnessed_commit]")
{
  const Application application;
  ServiceWithSilentReplica fixture;
  Caller caller(fixture.address, "orders");
  fixture.near.behind = 1;
  SendLine(caller, "QUERY w1 WRITE a second");
  CHECK(ReceivedWithin(caller, 100).empty());
  fixture.SetSilent(false);
  CHECK(ReceivedWithin(caller, 100).starts_with("COMPLETE "));
  CHECK(fixture.SilentVersion() == 0);
}

// Guards against a confirmation that is passed on when its primary has been replaced meanwhile.
TEST_CASE("A commit that waits for a witness while its primary is replaced has an unknown outcome",
          "[witnessed_commit]")
{
  const Application application;
  ServiceWithSilentReplica fixture;
  Caller caller(fixture.address, "orders");
  fixture.near.behind = 1;
  SendLine(caller, "QUERY w1 WRITE a second");
  CHECK(ReceivedWithin(caller, 100).empty());
  fixture.SetPrimary("i-near");
  fixture.near.behind = 0;
  CHECK(ReceivedWithin(caller, 300).starts_with("ERROR UNKNOWN "));
}

TEST_CASE("A caller that leaves while its commit waits for a witness harms nobody",
          "[witnessed_commit]")
{
  const Application application;
  ServiceWithSilentReplica fixture;
  fixture.near.behind = 1;
  {
    Caller leaving(fixture.address, "orders");
    SendLine(leaving, "QUERY w1 WRITE a second");
    ReceivedWithin(leaving, 50);
  }
  Caller caller(fixture.address, "orders");
  SendLine(caller, "QUERY w2 WRITE a third");
  CHECK(ReceivedWithin(caller, 50).empty());
  fixture.near.behind = 0;
  CHECK(ReceivedWithin(caller, 300).starts_with("COMPLETE "));
}

// Guards against connections that are lost to a witness which does not answer.
TEST_CASE("A witness that does not answer for a while costs no connection for good",
          "[witnessed_commit]")
{
  const Application application;
  ServiceWithSilentReplica fixture;
  Caller caller(fixture.address, "orders");
  caller.Send("QUERY w0 WRITE a zeroth");
  fixture.near.silent = true;
  SendLine(caller, "QUERY w1 WRITE a second");
  CHECK(ReceivedWithin(caller, 900).empty());
  fixture.near.silent = false;
  CHECK(ReceivedWithin(caller, 900).starts_with("COMPLETE "));
  CHECK(fixture.near.ConnectionCount() <= 10);
}

// Guards against a leader that relies on proxies which do not know of the silence yet.
TEST_CASE("A proxy reports the newest silent replica that it knows of", "[witnessed_commit]")
{
  const Application application;
  ServiceWithReplicas idle;
  CHECK(idle.service->ReportCommits().empty());
  ServiceWithSilentReplica fixture;
  CHECK(fixture.SilentVersion() == fixture.version);
  fixture.update.services.front().syncReplicas = 0;
  fixture.update.services.front().version = ++fixture.version;
  fixture.Publish();
  CHECK(fixture.service->ReportCommits().empty());
  Caller caller(fixture.address, "orders");
  fixture.near.behind = 1;
  CHECK(caller.Send("QUERY w1 WRITE a second").starts_with("COMPLETE "));
}
