#include "oleanderledge/entry/internal/CallerSession.hpp"
#include "oleanderledge/entry/internal/Forwarder.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>
#include <random>

using namespace oleanderledge;

namespace {

/// What kind of units a caller sends. The value is the index of the caller.
enum class CallerKind
{
  Read,
  Idempotent,
  Plain,
  WithRequestId,
  Transactions,
};

constexpr std::size_t kCallers = 5;
constexpr std::array<const char*, 2> kOwners = { "a", "b" };

/// Number of rows in the complete answer to a unit.
std::size_t RowsOf(int aUnit)
{
  return static_cast<std::size_t>(aUnit) % 3;
}

std::string TextOf(int aUnit)
{
  return "unit " + std::to_string(aUnit);
}

/// Simulation of callers, the forwarder and two owners. A seeded generator chooses the order of
/// events. Owners execute each attempt at most once and drop the state of a link that is lost.
class ForwardingSimulation
{
public:
  explicit ForwardingSimulation(std::uint64_t aSeed)
    : random(aSeed)
    , forwarder({}, aSeed)
  {
    for (std::size_t caller = 0; caller < kCallers; ++caller) {
      auto& session = this->sessions.emplace_back(caller + 1, EntryLimits{});
      StartupMessage startup;
      startup.user = startup.database = "orders";
      if (caller == static_cast<std::size_t>(CallerKind::Read)) {
        startup.parameters.emplace_back("default_transaction_read_only", "on");
      } else if (caller == static_cast<std::size_t>(CallerKind::Idempotent)) {
        startup.parameters.emplace_back("oleanderledge.idempotent", "on");
      }
      RC_ASSERT(session.Start(startup).has_value());
      this->output.emplace_back();
      this->expected.emplace_back();
    }
    this->AssignOwner(0);
  }

  void RunRandomEvent()
  {
    switch (this->RandomBelow(12)) {
      case 0:
      case 1:
        this->Submit(this->RandomBelow(kCallers));
        break;
      case 2:
      case 3:
      case 4:
        this->ProcessOne(false);
        break;
      case 5:
      case 6:
      case 7:
        this->DeliverOne();
        break;
      case 8:
        this->DeliverStaleReply();
        break;
      case 9:
        this->ToggleLink(this->RandomBelow(kOwners.size()));
        break;
      case 10:
        if (this->RandomBelow(3) == 0) {
          this->AssignOwner(this->RandomBelow(kOwners.size() + 1));
        } else if (this->RandomBelow(3) == 0) {
          this->ExecuteActions(this->forwarder.Cancel(1 + this->RandomBelow(kCallers), this->now));
        }
        break;
      default:
        this->AdvanceTime(Duration{ static_cast<std::int64_t>(this->RandomBelow(400'000)) });
        break;
    }
  }

  /// Runs without faults until all units are answered, then checks the answers.
  void RecoverAndCheck()
  {
    this->AssignOwner(0);
    for (std::size_t owner = 0; owner < kOwners.size(); ++owner) {
      if (!this->isReady[owner]) {
        this->ToggleLink(owner);
      }
    }
    for (int round = 0; round < 2000; ++round) {
      while (!this->inbox.empty()) {
        this->ProcessOne(true);
      }
      while (!this->replies.empty()) {
        this->DeliverOne();
      }
      this->AdvanceTime(Duration{ 20'000 });
    }
    for (std::size_t caller = 0; caller < kCallers; ++caller) {
      this->CheckAnswers(caller);
    }
    for (const int unit : this->notRun) {
      RC_ASSERT(!this->executions.contains(unit));
    }
  }

private:
  struct Attempt
  {
    std::size_t owner = 0;
    StatementRequest request;
  };

  std::size_t RandomBelow(std::size_t aCount) { return this->random() % aCount; }

  void Submit(std::size_t aCaller)
  {
    if (aCaller == static_cast<std::size_t>(CallerKind::WithRequestId)) {
      this->Send(aCaller,
                 "SET oleanderledge.request_id = 'r" + std::to_string(this->nextUnit) + "'");
    }
    if (aCaller != static_cast<std::size_t>(CallerKind::Transactions)) {
      this->Send(aCaller, TextOf(this->nextUnit++));
      return;
    }
    this->Send(aCaller, "BEGIN");
    this->Send(aCaller, TextOf(this->nextUnit++));
    this->Send(aCaller, TextOf(this->nextUnit++));
    this->Send(aCaller, "COMMIT");
  }

  void Send(std::size_t aCaller, const std::string& aSql)
  {
    this->expected[aCaller].push_back(aSql);
    this->HandleOutput(aCaller, this->sessions[aCaller].OnMessage(BuildQuery(aSql), this->now));
  }

  void HandleOutput(std::size_t aCaller, SessionOutput&& aOutput)
  {
    this->output[aCaller] += aOutput.toCaller;
    if (aOutput.forward) {
      this->ExecuteActions(this->forwarder.Submit(std::move(*aOutput.forward), this->now));
    }
  }

  void ExecuteActions(Forwarder::Actions&& aActions)
  {
    for (ForwardAction& action : aActions) {
      if (auto* piece = std::get_if<DeliverPiece>(&action)) {
        const auto caller = static_cast<std::size_t>(piece->reply.channel - 1);
        this->HandleOutput(caller,
                           this->sessions[caller].OnReply(std::move(piece->reply), this->now));
      } else if (auto* send = std::get_if<SendToOwner>(&action)) {
        this->AcceptAtOwner(*send);
      }
    }
  }

  void AcceptAtOwner(SendToOwner& aSend)
  {
    const std::size_t owner = aSend.address == kOwners[0] ? 0 : 1;
    if (const auto* close = std::get_if<CloseChannel>(&aSend.message)) {
      this->open.erase({ owner, close->channel });
      this->DropChannel(owner, close->channel);
    }
    auto* request = std::get_if<StatementRequest>(&aSend.message);
    if (request == nullptr) {
      return;
    }
    RC_ASSERT(this->isReady[owner]);
    const int unit = UnitOf(*request);
    const auto kind = static_cast<CallerKind>(request->channel - 1);
    if (unit >= 0 && kind == CallerKind::Transactions) {
      // Statements of a transaction never run outside it.
      RC_ASSERT(request->inTransaction);
    }
    if (unit >= 0 && (kind == CallerKind::Plain || kind == CallerKind::Transactions)) {
      // A unit that is not retry-safe is resent only if no earlier attempt can have run.
      RC_ASSERT(!this->mayHaveRun.contains(unit));
      this->mayHaveRun.insert(unit);
    }
    this->inbox.push_back({ owner, std::move(*request) });
  }

  static int UnitOf(const StatementRequest& aRequest)
  {
    const std::size_t found = aRequest.payload.find("unit ");
    return found == std::string::npos ? -1 : std::atoi(aRequest.payload.c_str() + found + 5);
  }

  void ProcessOne(bool aWithoutFaults)
  {
    if (this->inbox.empty()) {
      return;
    }
    const std::size_t at = aWithoutFaults ? 0 : this->RandomBelow(this->inbox.size());
    const Attempt attempt = std::move(this->inbox[at]);
    this->inbox.erase(this->inbox.begin() + static_cast<std::ptrdiff_t>(at));
    const StatementRequest& request = attempt.request;
    const std::pair key(attempt.owner, request.channel);
    StatementReply reply;
    reply.channel = request.channel;
    reply.sequence = request.sequence;
    reply.transactionStatus = this->open.contains(key) ? 'T' : 'I';
    const bool isStaleEpoch = request.ownerEpoch != this->epoch && !request.inTransaction;
    const std::size_t fault = aWithoutFaults ? 5 : this->RandomBelow(8);
    if (request.inTransaction && !this->open.contains(key)) {
      this->Refuse(attempt, std::move(reply), ResultCode::BackendConnectionLost);
    } else if (isStaleEpoch || fault == 0) {
      this->Refuse(attempt, std::move(reply), ResultCode::NotOwner);
    } else if (fault == 1) {
      this->Refuse(attempt, std::move(reply), ResultCode::Overloaded);
    } else {
      this->Execute(attempt, std::move(reply), fault == 2, fault == 3);
    }
  }

  void Refuse(const Attempt& aAttempt, StatementReply&& aReply, ResultCode aCode)
  {
    this->mayHaveRun.erase(UnitOf(aAttempt.request));
    aReply.code = aCode;
    aReply.runState = RunState::NotRun;
    aReply.finalPiece = true;
    this->replies.emplace_back(aAttempt.owner, std::move(aReply));
  }

  void Execute(const Attempt& aAttempt,
               StatementReply&& aReply,
               bool aLoseBackend,
               bool aExpiredLease)
  {
    const StatementRequest& request = aAttempt.request;
    const std::pair key(aAttempt.owner, request.channel);
    const int unit = UnitOf(request);
    const std::string sql(FieldReader(SplitMessages(request.payload).at(0).body).ReadString());
    // An owner runs each request id once and answers a second attempt with the recorded result.
    if (unit >= 0 &&
        (request.requestId.empty() || this->requestIds.insert(request.requestId).second)) {
      ++this->executions[unit];
    }
    if (sql == "BEGIN") {
      this->open.insert(key);
    } else if (sql == "COMMIT" || sql == "ROLLBACK" || aLoseBackend) {
      this->open.erase(key);
    }
    aReply.transactionStatus = this->open.contains(key) ? 'T' : 'I';
    if (aLoseBackend) {
      aReply.code = ResultCode::BackendConnectionLost;
      aReply.runState = RunState::Unknown;
      aReply.finalPiece = true;
      this->replies.emplace_back(aAttempt.owner, std::move(aReply));
      return;
    }
    for (std::size_t row = 0; unit >= 0 && row < RowsOf(unit); ++row) {
      StatementReply piece = aReply;
      const std::array<std::optional<std::string>, 1> columns = { sql };
      piece.payload = BuildDataRow(columns);
      this->replies.emplace_back(aAttempt.owner, std::move(piece));
    }
    aReply.payload = BuildCommandComplete(sql);
    aReply.finalPiece = true;
    aReply.isWriteAcknowledgement = !request.readOnly && aReply.transactionStatus == 'I';
    if (aReply.isWriteAcknowledgement && aExpiredLease) {
      this->acknowledgedAfterLease.insert(unit);
    }
    aReply.pingEchoUs = ToMicroseconds(this->now) - (aExpiredLease ? 5'000'000 : 0);
    aReply.leaseLeftUs = aExpiredLease ? 1'000'000 : 60'000'000;
    this->replies.emplace_back(aAttempt.owner, std::move(aReply));
  }

  /// Delivers the oldest reply of a random channel, because TCP keeps the order within a link.
  void DeliverOne()
  {
    if (this->replies.empty()) {
      return;
    }
    const auto chosen = this->replies[this->RandomBelow(this->replies.size())];
    const auto first =
      std::find_if(this->replies.begin(), this->replies.end(), [&](const auto& aReply) {
        return aReply.first == chosen.first && aReply.second.channel == chosen.second.channel;
      });
    auto [owner, reply] = std::move(*first);
    this->replies.erase(first);
    this->delivered.emplace_back(owner, reply);
    this->ExecuteActions(this->forwarder.OnReply(kOwners[owner], std::move(reply), this->now));
  }

  /// Repeats a reply that was delivered or lost before, and delivers one from the wrong address.
  void DeliverStaleReply()
  {
    if (!this->delivered.empty()) {
      const auto [owner, reply] = this->delivered[this->RandomBelow(this->delivered.size())];
      if (reply.finalPiece) {
        this->ExecuteActions(
          this->forwarder.OnReply(kOwners[owner], StatementReply(reply), this->now));
      }
    }
    if (!this->replies.empty()) {
      const auto [owner, reply] = this->replies[this->RandomBelow(this->replies.size())];
      this->ExecuteActions(
        this->forwarder.OnReply(kOwners[1 - owner], StatementReply(reply), this->now));
    }
  }

  void ToggleLink(std::size_t aOwner)
  {
    this->isReady[aOwner] = !this->isReady[aOwner];
    if (this->isReady[aOwner]) {
      this->ExecuteActions(this->forwarder.OnLinkReady(kOwners[aOwner], this->now));
      return;
    }
    std::erase_if(this->open, [&](const auto& aKey) { return aKey.first == aOwner; });
    for (std::uint64_t channel = 1; channel <= kCallers; ++channel) {
      this->DropChannel(aOwner, channel);
    }
    this->ExecuteActions(this->forwarder.OnLinkClosed(kOwners[aOwner], this->now));
  }

  /// Closes a channel at an owner: attempts in progress may or may not run, and their replies are
  /// lost.
  void DropChannel(std::size_t aOwner, std::uint64_t aChannel)
  {
    std::erase_if(this->inbox, [&](const Attempt& aAttempt) {
      if (aAttempt.owner != aOwner || aAttempt.request.channel != aChannel) {
        return false;
      }
      const int unit = UnitOf(aAttempt.request);
      const std::string& id = aAttempt.request.requestId;
      if (unit >= 0 && this->RandomBelow(2) == 0 &&
          (id.empty() || this->requestIds.insert(id).second)) {
        ++this->executions[unit];
      }
      return true;
    });
    std::erase_if(this->replies, [&](const auto& aReply) {
      const bool isLost = aReply.first == aOwner && aReply.second.channel == aChannel;
      if (isLost) {
        this->delivered.push_back(aReply);
      }
      return isLost;
    });
  }

  /// Assigns a new owner; the index after the last owner means none.
  void AssignOwner(std::size_t aOwner)
  {
    DatabaseRow row;
    row.name = "orders";
    if (aOwner < kOwners.size()) {
      row.owner = row.ownerAddress = kOwners[aOwner];
    }
    row.ownerEpoch = row.version = ++this->epoch;
    this->directory.Apply({ 0, this->epoch, {}, { row } });
    this->ExecuteActions(
      this->forwarder.ApplyDirectory(std::make_shared<Directory>(this->directory), this->now));
  }

  void AdvanceTime(Duration aTime)
  {
    this->now += aTime;
    this->ExecuteActions(this->forwarder.Tick(this->now));
  }

  /// Checks that the caller has exactly one complete answer or one error for each unit, in order.
  void CheckAnswers(std::size_t aCaller)
  {
    std::deque<std::string> unanswered(this->expected[aCaller].begin(),
                                       this->expected[aCaller].end());
    std::size_t rows = 0;
    std::string ending;
    bool hasFailed = false;
    for (const MessageView& view : SplitMessages(this->output[aCaller])) {
      RC_ASSERT(!unanswered.empty());
      const std::string& sql = unanswered.front();
      const bool isUnit = sql.starts_with("unit ");
      const int unit = isUnit ? std::atoi(sql.c_str() + 5) : -1;
      if (view.type == 'Z') {
        RC_ASSERT(!ending.empty());
        unanswered.pop_front();
        ending.clear();
        rows = 0;
        continue;
      }
      RC_ASSERT(ending.empty());
      if (view.type == 'D') {
        RC_ASSERT(ReadDataRow(view.body).at(0) == sql);
        ++rows;
        continue;
      }
      ending = view.type == 'E' ? ReadErrorFields(view.body).message
                                : std::string(FieldReader(view.body).ReadString());
      if (view.type == 'C') {
        RC_ASSERT(rows == (isUnit ? RowsOf(unit) : 0));
        RC_ASSERT(ending == sql || ending == "SET" || ending == "ROLLBACK");
      } else if (isUnit && ending.ends_with("not run]")) {
        RC_ASSERT(rows == 0U);
        this->notRun.push_back(unit);
      }
      if (isUnit && view.type == 'C') {
        RC_ASSERT(this->executions.contains(unit));
        // An acknowledgement after the lease is never relayed. Retry-safe units are excluded,
        // because a second attempt can be acknowledged in time.
        RC_ASSERT(aCaller != static_cast<std::size_t>(CallerKind::Plain) ||
                  !this->acknowledgedAfterLease.contains(unit));
      }
      // A transaction commits only if every statement of it succeeded.
      hasFailed = sql == "BEGIN" ? view.type == 'E' : hasFailed || view.type == 'E';
      RC_ASSERT(!hasFailed || ending != "COMMIT");
      // Reads and idempotent units may run more than once, all other units at most once.
      if (unit >= 0 && aCaller >= static_cast<std::size_t>(CallerKind::Plain)) {
        const auto executed = this->executions.find(unit);
        const int times = executed == this->executions.end() ? 0 : executed->second;
        RC_ASSERT(times <= 1);
      }
    }
    RC_ASSERT(unanswered.empty());
  }

  std::mt19937_64 random;
  Forwarder forwarder;
  Directory directory;
  std::uint64_t epoch = 0;
  Instant now{ Duration{ 1'000'000'000 } };
  std::deque<CallerSession> sessions;
  std::vector<std::string> output;
  std::vector<std::vector<std::string>> expected; ///< Texts sent by each caller.
  std::array<bool, kOwners.size()> isReady{};
  std::vector<Attempt> inbox;
  std::deque<std::pair<std::size_t, StatementReply>> replies;
  std::vector<std::pair<std::size_t, StatementReply>> delivered;
  std::set<std::pair<std::size_t, std::uint64_t>> open; ///< Transactions by owner and channel.
  std::set<std::string> requestIds;
  std::map<int, int> executions;
  std::set<int> mayHaveRun;
  std::vector<int> notRun;
  std::set<int> acknowledgedAfterLease; ///< Units acknowledged after their lease expired.
  int nextUnit = 0;
};

} // namespace

// Guards against lost, mixed-up or duplicate answers, writes that run twice and wrong run states.
// They come about when replies are late, duplicated or reordered, links are lost, owners change,
// units time out and cancel requests arrive, all in random order.
TEST_CASE("Every caller gets complete answers to its own units with correct run states")
{
  rc::prop("random events", [] {
    ForwardingSimulation simulation(*rc::gen::arbitrary<std::uint64_t>());
    const int steps = *rc::gen::inRange(1, 600);
    for (int step = 0; step < steps; ++step) {
      simulation.RunRandomEvent();
    }
    simulation.RecoverAndCheck();
  });
}
