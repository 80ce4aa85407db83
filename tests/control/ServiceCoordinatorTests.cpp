#include "oleanderledge/control/ServiceCoordinator.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

/// A control leader with one service of three registered servers, two proxies that report, and a
/// log that commits every proposal at once.
class LeaderOfOneService
{
public:
  LeaderOfOneService()
    : coordinator(this->state, "control-1", {})
  {
    this->coordinator.OnLeadershipGained(this->now);
    this->Register("a", true);
    this->Register("b", false);
    this->Register("c", false);
    this->Step(100ms);
  }

  void Register(const std::string& aName, bool aClaimsPrimary, bool aDraining = false)
  {
    BackendRow row;
    row.name = aName;
    row.service = "ledger";
    row.address = "10.0.0.1:" + aName;
    row.claimsPrimary = aClaimsPrimary;
    row.draining = aDraining;
    row.startedUnixMs = 1;
    row.sequence = ++this->sequence;
    this->coordinator.OnRegistration(row, this->now);
    const auto known = this->state.Backends().Backends().find(aName);
    if (known == this->state.Backends().Backends().end() ||
        !IsSameRegistration(known->second, row)) {
      this->Commit(UpdateBackend{ row });
    }
  }

  void Report(const std::string& aProxy, const std::string& aBackend, std::int64_t aFailingMs)
  {
    this->reports[aProxy][aBackend] = { aBackend, aFailingMs, aFailingMs == 0 ? 10 : 5000, 0 };
  }

  /// Lets time pass in ticks, with a registration of each live server every interval.
  void Step(Duration aTime)
  {
    const Instant end = this->now + aTime;
    while (this->now < end) {
      this->now += 20ms;
      if (this->now - this->registeredAt >= 1200ms) {
        this->registeredAt = this->now;
        for (const std::string& name : this->live) {
          this->Register(
            name, this->PrimaryName() == name && this->RowOf().phase == PrimaryPhase::Steady);
        }
      }
      for (const auto& [proxy, byBackend] : this->reports) {
        std::vector<BackendReport> list;
        for (const auto& [name, report] : byBackend) {
          list.push_back(report);
        }
        this->coordinator.OnBackendReports(proxy, list, this->now);
      }
      ControlActions actions;
      this->coordinator.OnTick(this->now, actions);
      this->Execute(actions);
    }
  }

  void Execute(const ControlActions& aActions)
  {
    for (const ControlAction& action : aActions) {
      if (const auto* propose = std::get_if<ProposeAction>(&action)) {
        this->Commit(propose->command);
        this->coordinator.OnProposalDone(propose->key);
      } else if (const auto* query = std::get_if<QueryPositionAction>(&action)) {
        const auto known = this->received.find(query->backend.name);
        if (known != this->received.end()) {
          this->coordinator.OnPosition(known->first, known->second);
        }
      } else if (const auto* promote = std::get_if<PromoteBackendAction>(&action)) {
        this->calls.push_back(*promote);
        ControlActions more;
        this->coordinator.OnPromotionAnswer(
          promote->service, promote->fence, this->answer, this->now, more);
        this->Execute(more);
      }
    }
  }

  void Commit(const ControlCommand& aCommand)
  {
    this->state.Apply(++this->index, EncodeCommand(aCommand));
  }

  const PrimaryRow& RowOf() const { return *this->state.Backends().FindPrimary("ledger"); }
  std::string PrimaryName() const
  {
    const PrimaryRow* row = this->state.Backends().FindPrimary("ledger");
    return row == nullptr ? "" : row->backend;
  }

  ControlState state;
  ServiceCoordinator coordinator;
  Instant now{ 100s };
  Instant registeredAt{ 100s };
  std::uint64_t index = 0;
  std::uint64_t sequence = 0;
  std::set<std::string> live{ "a", "b", "c" };
  std::map<std::string, std::map<std::string, BackendReport>> reports;
  std::vector<PromoteBackendAction> calls;
  PromotionOutcome answer = PromotionOutcome::Confirmed;
  /// Positions that servers tell when asked; others do not answer.
  std::map<std::string, LogPosition> received{ { "b", { 1, 10 } }, { "c", { 1, 10 } } };
};

} // namespace

TEST_CASE("The server that registers as primary is adopted without a promotion", "[services]")
{
  LeaderOfOneService leader;
  CHECK(leader.PrimaryName() == "a");
  CHECK(leader.calls.empty());
  leader.Step(10s);
  CHECK(leader.PrimaryName() == "a");
  CHECK(leader.calls.empty());
}

TEST_CASE("A primary that no proxy reaches is replaced within 1.5 s", "[services]")
{
  LeaderOfOneService leader;
  leader.Step(2s);
  leader.live.erase("a");
  leader.Report("p1", "a", 800);
  leader.Report("p2", "a", 900);
  leader.Report("p1", "b", 0);
  leader.Step(1500ms);
  REQUIRE(leader.calls.size() == 1);
  CHECK(leader.PrimaryName() == "b");
  CHECK(leader.RowOf().phase == PrimaryPhase::Steady);
}

// Guards against a promotion that only one cut-off proxy asks for.
TEST_CASE("A primary that another proxy reaches stays", "[services]")
{
  LeaderOfOneService leader;
  leader.Step(2s);
  leader.live.erase("a");
  leader.Report("p1", "a", 5000);
  leader.Report("p2", "a", 0);
  leader.Step(10s);
  CHECK(leader.calls.empty());
}

// Guards against a promotion in the smaller part of a partition, after which the larger part, with
// the old primary, serves nothing.
TEST_CASE("A primary out of contact together with most proxies stays for a time", "[services]")
{
  LeaderOfOneService leader;
  for (const char* proxy : { "p1", "p2", "p3" }) {
    InstanceInfo instance;
    instance.id = proxy;
    leader.Commit(RegisterInstance{ instance });
  }
  leader.Step(2s);
  leader.live.erase("a");
  leader.Report("p1", "a", 3000);
  leader.Step(5s);
  CHECK(leader.calls.empty());
  leader.Step(5s);
  CHECK(leader.calls.size() == 1);
}

// Guards against the claim that a lost primary registered before it was replaced.
TEST_CASE("An old claim does not undo a promotion", "[services]")
{
  LeaderOfOneService leader;
  leader.Step(2s);
  leader.live.erase("a");
  leader.Report("p1", "a", 3000);
  leader.Report("p1", "b", 0);
  leader.Step(1500ms);
  REQUIRE(leader.calls.size() == 1);
  leader.Step(20s);
  CHECK(leader.calls.size() == 1);
  CHECK(leader.PrimaryName() == "b");
}

// Guards against lost orders: the replica that received most must lead.
TEST_CASE("The replica that has received most is promoted", "[services]")
{
  LeaderOfOneService leader;
  leader.received = { { "b", { 1, 10 } }, { "c", { 1, 12 } } };
  leader.Step(2s);
  leader.Register("a", true, true);
  leader.Step(100ms);
  CHECK(leader.PrimaryName() == "c");
}

TEST_CASE("A replica that does not tell its position is not waited for", "[services]")
{
  LeaderOfOneService leader;
  leader.received = { { "b", { 1, 10 } } };
  leader.Step(2s);
  leader.Register("a", true, true);
  leader.Step(400ms);
  CHECK(leader.PrimaryName() == "b");
}

// Guards against the loss of a commit that a silent replica confirmed.
TEST_CASE("Where replicas confirm commits no promotion goes without all their positions",
          "[services]")
{
  LeaderOfOneService leader;
  RouteConfiguration configuration;
  configuration.number = 1;
  configuration.services = { { "ledger", 10, 1, 0, false } };
  leader.Commit(StoreRouteConfiguration{ configuration });
  leader.received = { { "b", { 1, 10 } } };
  leader.Step(2s);
  leader.live.erase("a");
  leader.Register("a", true, true);
  leader.Step(2s);
  CHECK(leader.calls.empty());
  leader.received["c"] = { 1, 11 };
  leader.Step(1s);
  CHECK(leader.PrimaryName() == "c");
}

TEST_CASE("A primary that drains is replaced at once", "[services]")
{
  LeaderOfOneService leader;
  leader.Step(2s);
  leader.Register("a", true, true);
  leader.Step(100ms);
  CHECK(leader.calls.size() == 1);
  CHECK(leader.PrimaryName() != "a");
}

// Guards against two holders that promote under one fence, and against a fence that falls.
TEST_CASE("A new leader takes an unconfirmed decision again under a higher fence", "[services]")
{
  LeaderOfOneService leader;
  leader.Step(2s);
  leader.answer = PromotionOutcome::Unanswered;
  leader.Register("a", true, true);
  leader.Step(100ms);
  REQUIRE_FALSE(leader.calls.empty());
  const PromoteBackendAction first = leader.calls.back();
  leader.calls.clear();
  ServiceCoordinator successor(leader.state, "control-2", {});
  successor.OnLeadershipGained(leader.now);
  ControlActions actions;
  successor.OnTick(leader.now, actions);
  for (const ControlAction& action : actions) {
    CHECK_FALSE(std::holds_alternative<PromoteBackendAction>(action));
    if (const auto* propose = std::get_if<ProposeAction>(&action)) {
      leader.Commit(propose->command);
    }
  }
  CHECK(leader.RowOf().holder == "control-2");
  CHECK(leader.RowOf().fence > first.fence);
}

TEST_CASE("An unanswered promotion is repeated under the same fence", "[services]")
{
  LeaderOfOneService leader;
  leader.Step(2s);
  leader.answer = PromotionOutcome::Unanswered;
  leader.Register("a", true, true);
  leader.Step(500ms);
  REQUIRE(leader.calls.size() >= 2);
  CHECK(leader.calls[0].fence == leader.calls[1].fence);
  CHECK(leader.calls[0].backend == leader.calls[1].backend);
}

TEST_CASE("A refused promotion is decided for another server", "[services]")
{
  LeaderOfOneService leader;
  leader.Step(2s);
  leader.answer = PromotionOutcome::Refused;
  leader.Register("a", true, true);
  leader.Step(300ms);
  REQUIRE(leader.calls.size() >= 2);
  CHECK(leader.calls[0].backend != leader.calls[1].backend);
  CHECK(leader.calls[0].fence < leader.calls[1].fence);
}
