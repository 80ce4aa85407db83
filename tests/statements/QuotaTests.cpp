#include "tests/statements/ServiceWithReplicas.hpp"

using namespace oleanderledge;
using namespace oleanderledge::test;

namespace {

/// Decides on operations as the test says.
class FakeAdmission : public OperationAdmission
{
public:
  Ticket NewTicket() override { return ++this->lastTicket; }
  void Admit(Ticket aTicket, const OperationDemand& aDemand, Callback aCallback) override
  {
    this->demands.push_back(aDemand);
    if (this->decidesLater) {
      this->waiting.emplace(aTicket, std::move(aCallback));
      return;
    }
    aCallback(this->NextDecision());
  }
  void Cancel(Ticket aTicket) override { this->waiting.erase(aTicket); }
  void Return(const OperationToken& /*aToken*/) override { ++this->returned; }

  TokenDecision NextDecision() const
  {
    return this->refuses
             ? TokenDecision{ std::nullopt, std::chrono::milliseconds(70) }
             : TokenDecision{ OperationToken{ "miny", MonotonicNow(), false }, Duration{ 0 } };
  }
  void DecideWaiting()
  {
    for (const auto& [ticket, callback] : std::exchange(this->waiting, {})) {
      callback(this->NextDecision());
    }
  }

  bool decidesLater = false;
  bool refuses = false;
  std::vector<OperationDemand> demands;
  std::map<Ticket, Callback> waiting;
  int returned = 0;
  Ticket lastTicket = 0;
};

struct AdmissionHolder
{
  FakeAdmission admission;
};

StatementServiceSettings WithAdmission(FakeAdmission& aAdmission)
{
  StatementServiceSettings settings;
  settings.admission = &aAdmission;
  return settings;
}

/// A service with the limited organisation "miny" and the organisation "bela" without a limit.
class ServiceWithQuotas
  : private Application
  , public AdmissionHolder
  , public ServiceWithReplicas
{
public:
  ServiceWithQuotas()
    : ServiceWithReplicas(1, WithAdmission(this->admission))
  {
    this->SetOrganisation("bela", { "key-b1" });
    this->SetMinyKeys({ "key-m1" });
  }

  void SetMinyKeys(const std::vector<std::string>& aKeys)
  {
    this->SetOrganisation("miny", aKeys);
    ++this->version;
    this->update.organisations.back().rate = { true, 10'000, 10 };
    this->update.organisations.back().version = this->version;
    this->Publish();
  }
};

} // namespace

TEST_CASE_METHOD(ServiceWithQuotas, "One token is asked for each operation", "[quotas]")
{
  Caller miny(this->address, "orders", "key-m1");
  CHECK(miny.Send("QUERY m1 WRITE a 1").find("COMPLETE") != std::string::npos);
  CHECK(this->admission.demands.size() == 1);
  CHECK(this->admission.demands[0].organisation == "miny");
  miny.Send("QUERY m2 BEGIN");
  CHECK(miny.Send("QUERY m3 WRITE a 2").find("COMPLETE") != std::string::npos);
  CHECK(miny.Send("QUERY m4 READ a").find("COMPLETE") != std::string::npos);
  CHECK(miny.Send("QUERY m5 COMMIT").find("COMPLETE") != std::string::npos);
  CHECK(this->admission.demands.size() == 2);
  CHECK(this->admission.returned == 0);
  Caller bela(this->address, "orders", "key-b1");
  CHECK(bela.Send("QUERY b1 WRITE a 3").find("COMPLETE") != std::string::npos);
  CHECK(this->admission.demands.size() == 2);
}

// Guards the promise that nothing ran, and the retry time that callers rely on.
TEST_CASE_METHOD(ServiceWithQuotas, "An operation over the limit is refused", "[quotas]")
{
  this->admission.refuses = true;
  Caller miny(this->address, "orders", "key-m1");
  const std::string single = miny.Send("QUERY m1 WRITE a 1");
  CHECK(single.starts_with("ERROR OVERLOAD"));
  CHECK(single.find("retry_after_ms=70") != std::string::npos);
  CHECK(miny.Send("QUERY m2 BEGIN").find("COMPLETE") != std::string::npos);
  const std::string first = miny.Send("QUERY m3 WRITE a 1");
  CHECK(first.starts_with("ERROR OVERLOAD"));
  CHECK(first.find("retry_after_ms=70") != std::string::npos);
  CHECK(first.find("READY E") != std::string::npos);
  CHECK(this->group.runs.empty());
}

TEST_CASE_METHOD(ServiceWithQuotas, "Operations wait for a late token", "[quotas]")
{
  this->admission.decidesLater = true;
  Caller miny(this->address, "orders", "key-m1");
  QTimer::singleShot(50, [this] { this->admission.DecideWaiting(); });
  CHECK(miny.Send("QUERY m1 WRITE a 1").find("COMPLETE") != std::string::npos);
  // Confirmed before there is a token.
  CHECK(miny.Send("QUERY m2 BEGIN").find("COMPLETE") != std::string::npos);
  CHECK(this->admission.waiting.size() == 1);
  QTimer::singleShot(50, [this] { this->admission.DecideWaiting(); });
  CHECK(miny.Send("QUERY m3 WRITE a 2").find("COMPLETE") != std::string::npos);
  CHECK(miny.Send("QUERY m4 COMMIT").find("COMPLETE") != std::string::npos);
}

// Guards against tokens for sessions that are gone, and against operations under a withdrawn key.
TEST_CASE_METHOD(ServiceWithQuotas, "A wait for a token ends with its session or key", "[quotas]")
{
  this->admission.decidesLater = true;
  {
    Caller gone(this->address, "orders", "key-m1");
    gone.Send("QUERY m1 BEGIN");
    CHECK(this->admission.waiting.size() == 1);
  }
  CHECK(RunUntil([this] { return this->admission.waiting.empty(); }));
  Caller miny(this->address, "orders", "key-m1");
  QTimer::singleShot(50, [this] {
    this->SetMinyKeys({ "key-m2" });
    this->admission.DecideWaiting();
  });
  CHECK(miny.Send("QUERY m2 WRITE a 1").starts_with("ERROR NOAUTH"));
  CHECK(this->admission.returned == 1);
  CHECK(this->group.runs.empty());
}

TEST_CASE_METHOD(ServiceWithQuotas,
                 "An operation that gets no connection returns its token",
                 "[quotas]")
{
  this->service->ApplyConnectionGrants({ { "i-primary", 1, {} } });
  Caller bela(this->address, "orders", "key-b1");
  bela.Send("QUERY b1 BEGIN");
  CHECK(bela.Send("QUERY b2 WRITE a 1").find("COMPLETE") != std::string::npos);
  Caller miny(this->address, "orders", "key-m1");
  CHECK(miny.Send("QUERY m1 WRITE a 1").starts_with("ERROR OVERLOAD"));
  CHECK(this->admission.demands.size() == 1);
  CHECK(this->admission.returned == 1);
  miny.Send("QUERY m2 BEGIN");
  CHECK(miny.Send("QUERY m3 WRITE a 1").starts_with("ERROR OVERLOAD"));
  CHECK(this->admission.demands.size() == 2);
  CHECK(this->admission.returned == 2);
  CHECK(this->RunsOf("m1") + this->RunsOf("m3") == 0);
}
