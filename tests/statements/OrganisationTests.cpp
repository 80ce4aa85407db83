#include "tests/statements/ServiceWithReplicas.hpp"

using namespace oleanderledge;
using namespace oleanderledge::test;

namespace {

/// A service whose callers need the key of one of two organisations.
class ServiceWithOrganisations
  : private Application
  , public ServiceWithReplicas
{
public:
  explicit ServiceWithOrganisations(const StatementServiceSettings& aSettings = {})
    : ServiceWithReplicas(1, aSettings)
  {
    this->SetOrganisation("miny", { "key-m1", "key-m2" });
    this->SetOrganisation("bela", { "key-b1" });
  }

  std::string UserOf(const std::string& aStatement) const
  {
    const auto found = this->group.users.find(aStatement);
    return found == this->group.users.end() ? "nowhere" : found->second;
  }
};

} // namespace

// Guards against callers without a key, and against keys that leave the process in an error text.
TEST_CASE_METHOD(ServiceWithOrganisations, "A session without a known key is refused", "[keys]")
{
  Caller unknown(this->address, "orders", "key-x");
  CHECK(unknown.startUpAnswer.starts_with("ERROR NOAUTH"));
  CHECK(unknown.startUpAnswer.find("key-x") == std::string::npos);
  Caller none(this->address, "orders", "");
  CHECK(none.startUpAnswer.starts_with("ERROR NOAUTH"));
  CHECK(this->group.runs.empty());
}

// Guards against a connection that one organisation leaves to another with its settings.
TEST_CASE_METHOD(ServiceWithOrganisations,
                 "Each statement runs on a connection of the caller's organisation",
                 "[keys]")
{
  Caller miny(this->address, "orders", "key-m1");
  Caller second(this->address, "orders", "key-m2");
  Caller bela(this->address, "orders", "key-b1");
  CHECK(miny.Send("QUERY m1 WRITE a 1").find("COMPLETE") != std::string::npos);
  CHECK(bela.Send("QUERY b1 WRITE a 2").find("COMPLETE") != std::string::npos);
  CHECK(second.Send("QUERY m2 WRITE a 3").find("COMPLETE") != std::string::npos);
  CHECK(bela.Send("QUERY b2 READ a").find("COMPLETE") != std::string::npos);
  CHECK(this->UserOf("m1") == "miny");
  CHECK(this->UserOf("m2") == "miny");
  CHECK(this->UserOf("b1") == "bela");
  CHECK(this->UserOf("b2") == "bela");
}

// Guards against an organisation that waits for ever because idle connections of others fill the
// pool.
TEST_CASE_METHOD(ServiceWithOrganisations,
                 "A full pool closes an idle connection of another organisation",
                 "[keys]")
{
  this->service->ApplyConnectionGrants({ { "i-primary", 1, {} } });
  Caller miny(this->address, "orders", "key-m1");
  Caller bela(this->address, "orders", "key-b1");
  for (int round = 0; round < 3; ++round) {
    const std::string number = std::to_string(round);
    CHECK(miny.Send("QUERY m" + number + " WRITE a 1").find("COMPLETE") != std::string::npos);
    CHECK(bela.Send("QUERY b" + number + " WRITE a 2").find("COMPLETE") != std::string::npos);
    CHECK(this->UserOf("m" + number) == "miny");
    CHECK(this->UserOf("b" + number) == "bela");
  }
  CHECK(this->primary.MostConnections() <= 2);
}

TEST_CASE_METHOD(ServiceWithOrganisations, "A withdrawn key ends single statements", "[keys]")
{
  Caller miny(this->address, "orders", "key-m1");
  Caller other(this->address, "orders", "key-m2");
  CHECK(miny.Send("QUERY m1 WRITE a 1").find("COMPLETE") != std::string::npos);
  this->SetOrganisation("miny", { "key-m2" });
  CHECK(miny.Send("QUERY m2 WRITE a 2").starts_with("ERROR NOAUTH"));
  CHECK(miny.Send("QUERY m3 BEGIN").starts_with("ERROR NOAUTH"));
  CHECK(this->RunsOf("m2") == 0);
  CHECK(other.Send("QUERY m4 WRITE a 3").find("COMPLETE") != std::string::npos);
}

// Guards against a commit that is acknowledged, or that takes effect, after its key was withdrawn.
TEST_CASE_METHOD(ServiceWithOrganisations,
                 "A withdrawn key rolls back the open transaction",
                 "[keys]")
{
  Caller first(this->address, "orders", "key-m1");
  Caller second(this->address, "orders", "key-m1");
  for (Caller* caller : { &first, &second }) {
    caller->Send("QUERY m1 BEGIN");
    CHECK(caller->Send("QUERY m2 WRITE a new").find("COMPLETE") != std::string::npos);
  }
  this->SetOrganisation("miny", { "key-m2" });
  const std::string commit = first.Send("QUERY m3 COMMIT");
  CHECK(commit.starts_with("ERROR ABORTED"));
  CHECK(commit.find("READY I") != std::string::npos);
  const std::string write = second.Send("QUERY m4 WRITE a newer");
  CHECK(write.starts_with("ERROR ABORTED"));
  CHECK(write.find("READY E") != std::string::npos);
  CHECK(this->RunsOf("m3") == 0);
  CHECK(this->RunsOf("m4") == 0);
  CHECK(this->group.items["a"] == "first");
}

// Guards against a key that was withdrawn while the proxy is cut off from control: the proxy cannot
// know of it, so it refuses with a promise and lets the caller try another proxy.
TEST_CASE("A proxy out of contact refuses callers with keys until it is in contact again", "[keys]")
{
  StatementServiceSettings settings;
  settings.keyValidity = std::chrono::milliseconds(300);
  ServiceWithOrganisations fixture(settings);
  Caller miny(fixture.address, "orders", "key-m1");
  CHECK(miny.startUpAnswer.starts_with("READY I"));
  const Instant lastContact = MonotonicNow();
  RunUntil([lastContact] { return MonotonicNow() - lastContact > std::chrono::milliseconds(400); });
  CHECK(miny.Send("QUERY m1 WRITE a 1").starts_with("ERROR UNAVAIL"));
  CHECK(fixture.RunsOf("m1") == 0);
  fixture.service->SetDirectoryCurrentAt(MonotonicNow());
  CHECK(miny.Send("QUERY m2 WRITE a 1").find("COMPLETE") != std::string::npos);
}

// Guards against a new proxy that refuses sessions which come before it knows that its first
// directory is current.
TEST_CASE("A start-up waits for proof that the keys are current", "[keys]")
{
  StatementServiceSettings settings;
  settings.keyValidity = std::chrono::milliseconds(200);
  ServiceWithOrganisations fixture(settings);
  const Instant lastContact = MonotonicNow();
  RunUntil([lastContact] { return MonotonicNow() - lastContact > std::chrono::milliseconds(300); });
  QTimer::singleShot(50, [&fixture] { fixture.service->SetDirectoryCurrentAt(MonotonicNow()); });
  Caller miny(fixture.address, "orders", "key-m1");
  CHECK(miny.startUpAnswer.starts_with("READY I"));
}
