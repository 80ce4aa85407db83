#include "oleanderledge/entry/internal/Forwarder.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

constexpr auto kSecond = std::chrono::seconds(1);

/// A forwarder with one caller (channel 1) and owners at "a" and "b".
class ForwarderFixture
{
public:
  ForwarderFixture()
    : forwarder({}, 1)
  {
    this->AssignOwner("a");
    this->Record(this->forwarder.OnLinkReady("a", this->now));
  }

  void AssignOwner(const std::string& aAddress)
  {
    DatabaseRow row;
    row.name = "orders";
    row.owner = aAddress;
    row.ownerAddress = aAddress;
    row.ownerEpoch = ++this->epoch;
    row.version = this->epoch;
    this->directory.Apply({ 0, this->epoch, {}, { row } });
    this->Record(
      this->forwarder.ApplyDirectory(std::make_shared<Directory>(this->directory), this->now));
  }

  void Submit(bool aIsRetrySafe = false, bool aInTransaction = false)
  {
    ForwardUnit unit;
    unit.request.channel = 1;
    unit.request.database = "orders";
    unit.request.inTransaction = aInTransaction;
    unit.arrived = this->now;
    unit.isRetrySafe = aIsRetrySafe;
    this->Record(this->forwarder.Submit(std::move(unit), this->now));
  }

  StatementReply Answer(ResultCode aCode = ResultCode::Ok, RunState aRunState = RunState::Ran)
  {
    StatementReply reply;
    reply.channel = 1;
    reply.sequence = this->sent.back().sequence;
    reply.finalPiece = true;
    reply.code = aCode;
    reply.runState = aRunState;
    return reply;
  }

  void Reply(StatementReply aReply, const std::string& aAddress = "a")
  {
    this->Record(this->forwarder.OnReply(aAddress, std::move(aReply), this->now));
  }

  void CloseLink(const std::string& aAddress)
  {
    this->Record(this->forwarder.OnLinkClosed(aAddress, this->now));
  }
  void OpenLink(const std::string& aAddress)
  {
    this->Record(this->forwarder.OnLinkReady(aAddress, this->now));
  }

  void AdvanceTime(Duration aTime)
  {
    this->now += aTime;
    this->Record(this->forwarder.Tick(this->now));
  }

  /// Code and run state of the only delivered piece.
  std::pair<ResultCode, RunState> Outcome() const
  {
    REQUIRE(this->delivered.size() == 1);
    return { this->delivered[0].code, this->delivered[0].runState };
  }

  void Record(Forwarder::Actions&& aActions)
  {
    for (ForwardAction& action : aActions) {
      if (auto* piece = std::get_if<DeliverPiece>(&action)) {
        this->delivered.push_back(std::move(piece->reply));
      } else if (auto* send = std::get_if<SendToOwner>(&action)) {
        this->sentTo.push_back(send->address);
        if (auto* request = std::get_if<StatementRequest>(&send->message)) {
          this->sent.push_back(std::move(*request));
        } else {
          this->controlMessages.push_back(std::move(send->message));
        }
      } else {
        this->opened.push_back(std::get<OpenOwnerLink>(action).address);
      }
    }
  }

  Forwarder forwarder;
  Directory directory;
  std::uint64_t epoch = 0;
  Instant now{ Duration{ 1'000'000'000 } };
  std::vector<StatementRequest> sent;
  std::vector<std::string> sentTo;
  std::vector<Message> controlMessages;
  std::vector<std::string> opened;
  std::vector<StatementReply> delivered;
};

using Outcome = std::pair<ResultCode, RunState>;
const Outcome kOk{ ResultCode::Ok, RunState::Ran };
const Outcome kOutcomeUnknown{ ResultCode::OutcomeUnknown, RunState::Unknown };

} // namespace

TEST_CASE("A unit waits for an owner and its link and is then sent once")
{
  ForwarderFixture fixture;
  fixture.AssignOwner("");
  fixture.Submit();
  CHECK(fixture.sent.empty());
  fixture.AdvanceTime(kSecond);
  fixture.AssignOwner("b");
  CHECK(fixture.opened == std::vector<std::string>{ "b" });
  fixture.OpenLink("b");
  REQUIRE(fixture.sent.size() == 1);
  CHECK(fixture.sent[0].ownerEpoch == 3);
  CHECK(fixture.sent[0].waitedUs == 1'000'000);
  CHECK(fixture.forwarder.WaitingUnits() == 0);
}

// Guards against OutcomeUnknown for a unit of which nothing was ever sent.
TEST_CASE("A unit that has no owner until its deadline fails with NoOwner and not run")
{
  ForwarderFixture fixture;
  fixture.AssignOwner("");
  fixture.Submit();
  fixture.AdvanceTime(EntryLimits{}.waitLimit);
  CHECK(fixture.Outcome() == Outcome{ ResultCode::NoOwner, RunState::NotRun });
  CHECK(!fixture.forwarder.NextTimer());
}

// Guards against running a write twice: the lost attempt may have succeeded.
TEST_CASE("A write in progress when its link is lost has an unknown outcome and is not resent")
{
  ForwarderFixture fixture;
  fixture.Submit();
  fixture.CloseLink("a");
  CHECK(fixture.Outcome() == kOutcomeUnknown);
  fixture.OpenLink("a");
  fixture.AdvanceTime(10 * kSecond);
  CHECK(fixture.sent.size() == 1);
}

// Guards against a reply to an abandoned attempt that is taken for the reply to the current one.
TEST_CASE("A read is resent after a link loss and replies to the lost attempt are ignored")
{
  ForwarderFixture fixture;
  fixture.Submit(true);
  const StatementReply late = fixture.Answer();
  fixture.CloseLink("a");
  fixture.OpenLink("a");
  fixture.AdvanceTime(std::chrono::milliseconds(20));
  REQUIRE(fixture.sent.size() == 2);
  fixture.Reply(late);
  fixture.Reply(fixture.Answer(), "b");
  CHECK(fixture.delivered.empty());
  fixture.Reply(fixture.Answer());
  fixture.Reply(fixture.Answer());
  CHECK(fixture.Outcome() == kOk);
  CHECK(fixture.forwarder.Stats().repliesIgnored == 3);
}

// Guards against counting writes, refusals and ignored replies as reads.
TEST_CASE("Reads are counted separately for the primary and for replicas")
{
  ForwarderFixture fixture;
  const auto answer = [&](bool aReadOnly, bool aFromReplica, ResultCode aCode) {
    ForwardUnit unit;
    unit.request.channel = 1;
    unit.request.database = "orders";
    unit.request.readOnly = aReadOnly;
    unit.arrived = fixture.now;
    fixture.Record(fixture.forwarder.Submit(std::move(unit), fixture.now));
    StatementReply reply = fixture.Answer(aCode);
    reply.fromReplica = aFromReplica;
    fixture.Reply(reply);
    fixture.Reply(reply);
  };
  answer(true, true, ResultCode::Ok);
  answer(true, true, ResultCode::Ok);
  answer(true, false, ResultCode::Ok);
  answer(false, false, ResultCode::Ok);
  answer(true, true, ResultCode::QueryCanceled);
  CHECK(fixture.forwarder.Stats().replicaReads == 2);
  CHECK(fixture.forwarder.Stats().primaryReads == 1);
}

// Guards against reporting "not run" from the last attempt when an earlier attempt may have run.
TEST_CASE("A refusal after an attempt that may have run is reported as outcome unknown")
{
  ForwarderFixture fixture;
  fixture.Submit(true);
  fixture.CloseLink("a");
  fixture.OpenLink("a");
  fixture.AdvanceTime(kSecond);
  REQUIRE(fixture.sent.size() == 2);
  SECTION("refused by the owner")
  {
    fixture.Reply(fixture.Answer(ResultCode::Overloaded, RunState::NotRun));
  }
  SECTION("no owner until the deadline")
  {
    fixture.Reply(fixture.Answer(ResultCode::NotOwner, RunState::NotRun));
    fixture.AssignOwner("");
    fixture.AdvanceTime(10 * kSecond);
  }
  CHECK(fixture.Outcome() == kOutcomeUnknown);
}

// Guards against duplicate rows: the caller already has a part of the first answer.
TEST_CASE("A read whose answer was relayed in part is not resent")
{
  ForwarderFixture fixture;
  fixture.Submit(true);
  StatementReply piece = fixture.Answer();
  piece.finalPiece = false;
  fixture.Reply(piece);
  fixture.delivered.clear();
  fixture.CloseLink("a");
  CHECK(fixture.Outcome() == kOutcomeUnknown);
}

// Guards against rejected statements during a planned change of the owner.
TEST_CASE("A write that the former owner refused as not run is sent to the new owner")
{
  ForwarderFixture fixture;
  fixture.OpenLink("b");
  fixture.Submit();
  fixture.Reply(fixture.Answer(ResultCode::NotOwner, RunState::NotRun));
  CHECK(fixture.delivered.empty());
  fixture.AssignOwner("b");
  REQUIRE(fixture.sent.size() == 2);
  CHECK(fixture.sentTo.back() == "b");
  fixture.Reply(fixture.Answer(), "b");
  CHECK(fixture.Outcome() == kOk);
}

TEST_CASE("A unit sent to a former owner times out with an unknown outcome after the change")
{
  ForwarderFixture fixture;
  fixture.Submit();
  fixture.AssignOwner("b");
  fixture.AdvanceTime(std::chrono::milliseconds(900));
  CHECK(fixture.delivered.empty());
  fixture.AdvanceTime(std::chrono::milliseconds(100));
  CHECK(fixture.Outcome() == kOutcomeUnknown);
  REQUIRE(fixture.controlMessages.size() == 1);
  CHECK(std::holds_alternative<CloseChannel>(fixture.controlMessages[0]));
}

// Guards against a transaction that continues on another connection.
TEST_CASE("A transaction stays with its owner and fails when the link is lost")
{
  ForwarderFixture fixture;
  fixture.OpenLink("b");
  fixture.Submit();
  StatementReply begun = fixture.Answer();
  begun.transactionStatus = 'T';
  fixture.Reply(begun);
  fixture.AssignOwner("b");
  fixture.Submit(false, true);
  CHECK(fixture.sentTo.back() == "a");
  CHECK(fixture.sent.back().ownerEpoch == 1);
  begun.sequence = fixture.sent.back().sequence;
  fixture.Reply(begun);
  fixture.CloseLink("a");
  fixture.delivered.clear();
  fixture.Submit(false, true);
  CHECK(fixture.Outcome() == Outcome{ ResultCode::BackendConnectionLost, RunState::NotRun });
  CHECK(fixture.sent.size() == 2);
}

// Guards against acknowledging a write of an owner that may have been replaced.
TEST_CASE("A write acknowledgement is relayed only before the lease expires")
{
  ForwarderFixture fixture;
  fixture.Submit();
  StatementReply reply = fixture.Answer();
  reply.isWriteAcknowledgement = true;
  reply.pingEchoUs = ToMicroseconds(fixture.now);
  reply.leaseLeftUs = 500'000;
  SECTION("one microsecond before the end")
  {
    fixture.now += Duration{ 499'999 };
    fixture.Reply(reply);
    CHECK(fixture.Outcome() == kOk);
  }
  SECTION("at the end")
  {
    fixture.now += Duration{ 500'000 };
    fixture.Reply(reply);
    CHECK(fixture.Outcome() == Outcome{ ResultCode::LeaseExpired, RunState::Unknown });
  }
  SECTION("without an echoed ping or with one from the future")
  {
    reply.pingEchoUs = GENERATE(std::int64_t{ 0 }, std::int64_t{ 2'000'000'000'000 });
    fixture.Reply(reply);
    CHECK(fixture.Outcome() == Outcome{ ResultCode::LeaseExpired, RunState::Unknown });
  }
}

TEST_CASE("Resends stop when the retry budget is exhausted")
{
  ForwarderFixture fixture;
  std::size_t resent = 0;
  for (int round = 0; round < 12; ++round) {
    fixture.OpenLink("a");
    fixture.delivered.clear();
    fixture.Submit(true);
    fixture.CloseLink("a");
    resent += fixture.delivered.empty() ? 1 : 0;
    fixture.Record(fixture.forwarder.CloseChannel(1));
  }
  CHECK(resent == 10);
  fixture.AdvanceTime(11 * kSecond);
  fixture.OpenLink("a");
  fixture.delivered.clear();
  fixture.Submit(true);
  fixture.CloseLink("a");
  CHECK(fixture.delivered.empty());
}

TEST_CASE("A cancel request ends a waiting unit and is forwarded for a sent one")
{
  ForwarderFixture fixture;
  fixture.Submit(true);
  fixture.Record(fixture.forwarder.Cancel(1, fixture.now));
  REQUIRE(fixture.controlMessages.size() == 1);
  CHECK(std::get<CancelStatement>(fixture.controlMessages[0]).sequence == fixture.sent[0].sequence);
  fixture.CloseLink("a");
  CHECK(fixture.Outcome() == kOutcomeUnknown);
  fixture.delivered.clear();
  fixture.Submit();
  fixture.Record(fixture.forwarder.Cancel(1, fixture.now));
  CHECK(fixture.Outcome() == Outcome{ ResultCode::QueryCanceled, RunState::NotRun });
}

TEST_CASE("A send that failed before any byte was sent is repeated")
{
  ForwarderFixture fixture;
  fixture.Submit();
  fixture.Record(fixture.forwarder.OnSendFailed(1, fixture.sent[0].sequence, fixture.now));
  fixture.AdvanceTime(kSecond);
  CHECK(fixture.sent.size() == 2);
  CHECK(fixture.delivered.empty());
}

TEST_CASE("A closed channel is closed at every owner that received a unit of it")
{
  ForwarderFixture fixture;
  fixture.OpenLink("b");
  fixture.Submit();
  fixture.Reply(fixture.Answer());
  fixture.AssignOwner("b");
  fixture.Submit();
  fixture.Record(fixture.forwarder.CloseChannel(1));
  CHECK(fixture.controlMessages.size() == 2);
  fixture.Reply(fixture.Answer(), "b");
  CHECK(fixture.delivered.size() == 1);
}

TEST_CASE("Units for unknown databases and units over the limit are refused immediately")
{
  ForwarderFixture fixture;
  ForwardUnit unit;
  unit.request.channel = 2;
  unit.request.database = "missing";
  unit.arrived = fixture.now;
  fixture.Record(fixture.forwarder.Submit(std::move(unit), fixture.now));
  CHECK(fixture.Outcome() == Outcome{ ResultCode::UnknownDatabase, RunState::NotRun });
  EntryLimits limits;
  limits.maxWaitingUnits = 0;
  fixture.forwarder = Forwarder(limits, 1);
  fixture.delivered.clear();
  fixture.Submit();
  CHECK(fixture.Outcome() == Outcome{ ResultCode::Overloaded, RunState::NotRun });
}
