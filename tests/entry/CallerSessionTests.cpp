#include "oleanderledge/entry/internal/CallerSession.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

using Parameters = std::vector<std::pair<std::string, std::string>>;

constexpr Instant kNow{ Duration{ 1'000'000 } };

/// A session after start-up, with its last output.
class SessionFixture
{
public:
  explicit SessionFixture(Parameters aParameters = {})
    : session(7, {})
  {
    StartupMessage startup;
    startup.user = "counter";
    startup.database = "orders";
    startup.parameters = std::move(aParameters);
    REQUIRE(this->session.Start(startup));
  }

  /// Sends messages and returns the answers of the session, each as "type:detail", separated by
  /// spaces.
  std::string Send(const std::string& aMessages)
  {
    this->text.clear();
    this->forwarded.reset();
    for (const MessageView& view : SplitMessages(aMessages)) {
      this->HandleOutput(this->session.OnMessage(std::string(view.whole), kNow));
    }
    return this->text;
  }

  std::string Query(const std::string& aSql) { return this->Send(BuildQuery(aSql)); }

  std::string Reply(const std::string& aPayload,
                    char aStatus,
                    ResultCode aCode = ResultCode::Ok,
                    RunState aRunState = RunState::Ran,
                    Instant aNow = kNow)
  {
    this->text.clear();
    this->forwarded.reset();
    StatementReply reply;
    reply.finalPiece = true;
    reply.payload = aPayload;
    reply.transactionStatus = aStatus;
    reply.code = aCode;
    reply.runState = aRunState;
    this->HandleOutput(this->session.OnReply(std::move(reply), aNow));
    return this->text;
  }

  /// Runs a query that the owner answers with the query text as the command tag.
  std::string Run(const std::string& aSql, char aStatus)
  {
    this->Query(aSql);
    REQUIRE(this->forwarded);
    return this->Reply(BuildCommandComplete(aSql), aStatus);
  }

  const StatementRequest& Request() const { return this->forwarded.value().request; }

  CallerSession session;
  std::optional<ForwardUnit> forwarded;
  std::string text;

private:
  void HandleOutput(SessionOutput&& aOutput)
  {
    for (const MessageView& view : SplitMessages(aOutput.toCaller)) {
      if (!this->text.empty()) {
        this->text.push_back(' ');
      }
      this->text.push_back(view.type);
      if (view.type == 'E') {
        this->text.push_back(':');
        this->text += ReadErrorFields(view.body).sqlstate;
      } else if (view.type == 'C' || view.type == 'Z') {
        this->text.push_back(':');
        this->text += view.body.substr(0, view.body.find('\0'));
      }
    }
    if (aOutput.forward) {
      this->forwarded = std::move(aOutput.forward);
    }
  }
};

std::string Parse(const std::string& aName, const std::string& aSql)
{
  return BuildMessage('P', aName + '\0' + aSql + '\0' + std::string(2, '\0'));
}

std::string Bind(const std::string& aStatement)
{
  return BuildMessage('B', std::string(1, '\0') + aStatement + std::string(7, '\0'));
}

std::string Execute()
{
  return BuildMessage('E', std::string(5, '\0'));
}

} // namespace

TEST_CASE("Units of one session run one at a time and in order")
{
  SessionFixture fixture;
  CHECK(fixture.Send(BuildQuery("SELECT 1") + BuildQuery("SHOW oleanderledge.class")).empty());
  CHECK(fixture.Request().payload == BuildQuery("SELECT 1"));
  CHECK(fixture.Reply(BuildCommandComplete("one"), 'I') == "C:one Z:I T D C:SHOW Z:I");
}

// Guards against refusing the later units of a long pipeline because their latency target passed
// while the earlier ones ran.
TEST_CASE("The latency target of a pipelined unit starts at the answer to the unit before it")
{
  SessionFixture fixture;
  fixture.Send(BuildQuery("SELECT 1") + BuildQuery("SELECT 2"));
  CHECK(fixture.forwarded.value().arrived == kNow);
  const Instant later = kNow + std::chrono::seconds(2);
  fixture.Reply(BuildCommandComplete("one"), 'I', ResultCode::Ok, RunState::Ran, later);
  CHECK(fixture.forwarded.value().arrived == later);
}

TEST_CASE("Proxy settings are validated and answered without an owner")
{
  SessionFixture fixture;
  CHECK(fixture.Query("SET oleanderledge.accepted_age = 200") == "C:SET Z:I");
  CHECK(fixture.Query("SET oleanderledge.accepted_age = soon") == "E:22023 Z:I");
  CHECK(fixture.Query("SET oleanderledge.idempotent = maybe") == "E:22023 Z:I");
  CHECK(fixture.Query("SET oleanderledge.colour = red") == "E:22023 Z:I");
  CHECK(fixture.Query("SET LOCAL oleanderledge.class = a") == "E:0A000 Z:I");
  CHECK(!fixture.forwarded);
  fixture.Query("SELECT");
  CHECK(fixture.Request().acceptedAgeMs == 200);
  fixture.Reply("", 'I');
  CHECK(fixture.Query("DISCARD ALL") == "C:DISCARD ALL Z:I");
  fixture.Query("SELECT");
  CHECK(fixture.Request().acceptedAgeMs == -1);
}

// Guards against a request id that is used by two units, or used up by a unit that executes
// nothing.
TEST_CASE("A request id is used by exactly the next unit that executes a statement")
{
  SessionFixture fixture;
  fixture.Query("SET oleanderledge.request_id = 'order-1'");
  fixture.Send(Parse("s", "INSERT") + BuildSync());
  CHECK(fixture.Request().requestId.empty());
  fixture.Reply(BuildEmptyMessage('1'), 'I');
  fixture.Send(Bind("s") + Execute() + BuildSync());
  CHECK(fixture.Request().requestId == "order-1");
  CHECK(fixture.forwarded->isRetrySafe);
  CHECK(fixture.Request().prepared.size() == 1);
  fixture.Reply("", 'I');
  fixture.Query("INSERT");
  CHECK(fixture.Request().requestId.empty());
  CHECK(!fixture.forwarded->isRetrySafe);
  fixture.Reply("", 'I');
  fixture.Run("BEGIN", 'T');
  CHECK(fixture.Query("SET oleanderledge.request_id = 'order-2'") == "E:22023 Z:E");
}

TEST_CASE("Units of read-only sessions and transactions are marked as read-only")
{
  SessionFixture fixture;
  fixture.Query("SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY");
  fixture.Query("SELECT");
  CHECK(fixture.Request().readOnly);
  CHECK(fixture.forwarded->isRetrySafe);
  fixture.Reply("", 'I');
  fixture.Query("SELECT 1; DELETE FROM t");
  CHECK(!fixture.forwarded->isRetrySafe);
  fixture.Reply("", 'I');
  fixture.Run("BEGIN READ WRITE", 'T');
  fixture.Query("SELECT");
  CHECK(!fixture.Request().readOnly);
  fixture.Reply("", 'T');
  fixture.Run("COMMIT", 'I');
  fixture.Query("RESET default_transaction_read_only");
  fixture.Run("BEGIN READ ONLY", 'T');
  fixture.Query("SELECT");
  CHECK(fixture.Request().readOnly);
  CHECK(!fixture.forwarded->isRetrySafe);
}

TEST_CASE("Backend settings are kept for the session once the owner has accepted them")
{
  SessionFixture fixture(Parameters{ { "application_name", "till" } });
  fixture.Query("SET datestyle = 'German'");
  CHECK(fixture.Request().settings.size() == 2);
  CHECK(fixture.Reply(BuildCommandComplete("SET"), 'I') == "C:SET S Z:I");
  fixture.Query("SET lock_timeout = 'wrong'");
  fixture.Reply(BuildErrorResponse("ERROR", "22023", "wrong"), 'I');
  fixture.Query("SELECT");
  REQUIRE(fixture.Request().settings.size() == 2);
  CHECK(fixture.Request().settings[1].name == "datestyle");
  fixture.Reply("", 'I');
  CHECK(fixture.Query("RESET datestyle") == "S C:RESET Z:I");
  fixture.Query("SELECT");
  CHECK(fixture.Request().settings.size() == 1);
}

// Guards against a setting that stays on a shared connection and affects other callers.
TEST_CASE("SET inside a transaction is sent as SET LOCAL and kept only after COMMIT")
{
  SessionFixture fixture;
  fixture.Run("BEGIN", 'T');
  fixture.Query("SET lock_timeout = '5s'");
  CHECK(fixture.Request().payload == BuildQuery("SET LOCAL lock_timeout = '5s'"));
  fixture.Reply(BuildCommandComplete("SET"), 'T');
  const bool commits = GENERATE(true, false);
  fixture.Run(commits ? "COMMIT" : "ROLLBACK", 'I');
  fixture.Query("SELECT");
  CHECK(fixture.Request().settings.size() == (commits ? 1 : 0));
}

TEST_CASE("COPY, Flush, function calls and malformed messages are refused with an error")
{
  SessionFixture fixture;
  CHECK(fixture.Query("COPY t FROM stdin") == "E:0A000 Z:I");
  CHECK(fixture.Send(BuildMessage('d', "row") + BuildMessage('c', "")).empty());
  CHECK(fixture.Send(BuildMessage('F', "call")) == "E:0A000 Z:I");
  CHECK(fixture.Send(Parse("", "SELECT") + BuildMessage('H', "")) == "E:0A000");
  CHECK(fixture.Send(Bind("") + Execute()).empty());
  CHECK(fixture.Send(BuildSync()) == "Z:I");
  CHECK(fixture.Send(BuildMessage('P', "no end") + BuildSync()) == "E:08P01 Z:I");
  CHECK(fixture.Send(Parse("", "SELECT") + Parse("", "SHOW oleanderledge.class") + BuildSync()) ==
        "E:0A000 Z:I");
  CHECK(!fixture.forwarded);
  CHECK(fixture.Send(BuildMessage('p', "password")) == "E:08P01");
}

// Guards against pipelined statements that run outside their transaction after it was lost.
TEST_CASE("After a transaction is lost, statements are refused until the caller ends it")
{
  SessionFixture fixture;
  fixture.Run("BEGIN", 'T');
  fixture.Send(BuildQuery("INSERT 1") + BuildQuery("INSERT 2") + BuildQuery("COMMIT") +
               BuildQuery("SELECT"));
  CHECK(fixture.Reply("", 'I', ResultCode::OutcomeUnknown, RunState::Unknown) ==
        "E:08007 Z:E E:25P02 Z:E C:ROLLBACK Z:I");
  CHECK(fixture.Request().payload == BuildQuery("SELECT"));
  CHECK(!fixture.Request().inTransaction);
}

TEST_CASE("After a failed BEGIN, later statements do not run outside a transaction")
{
  SessionFixture fixture;
  fixture.Send(BuildQuery("BEGIN") + BuildQuery("INSERT") + BuildQuery("BEGIN"));
  CHECK(fixture.Reply("", 'I', ResultCode::Overloaded, RunState::NotRun) ==
        "E:53000 Z:E E:25P02 Z:E");
  CHECK(fixture.Request().payload == BuildQuery("BEGIN"));
  CHECK(!fixture.Request().inTransaction);
}

// Guards against a COMMIT that succeeds after a statement of the transaction was refused.
TEST_CASE("A refusal inside a transaction fails it and rolls it back at the owner")
{
  SessionFixture fixture;
  fixture.Run("BEGIN", 'T');
  SECTION("refused by the entry")
  {
    CHECK(fixture.Query("COPY t FROM stdin") == "E:0A000 Z:E");
  }
  SECTION("refused by the owner")
  {
    fixture.Query("INSERT");
    CHECK(fixture.Reply("", 'T', ResultCode::Overloaded, RunState::NotRun) == "E:53000 Z:E");
  }
  CHECK(fixture.Request().payload == BuildQuery("ROLLBACK"));
  CHECK(fixture.Request().inTransaction);
  CHECK(fixture.Query("COMMIT").empty());
  CHECK(fixture.Reply(BuildCommandComplete("ROLLBACK"), 'I') == "C:ROLLBACK Z:I");
}

TEST_CASE("Only statements that were parsed without an error become prepared statements")
{
  SessionFixture fixture;
  fixture.Send(Parse("good", "SELECT 1") + Parse("bad", "SELEC") + BuildSync());
  fixture.Reply(BuildEmptyMessage('1') + BuildErrorResponse("ERROR", "42601", "syntax"), 'I');
  CHECK(fixture.Send(Bind("good") + Bind("bad") + BuildSync()) == "E:26000 Z:I");
  fixture.Send(Bind("good") + BuildSync());
  REQUIRE(fixture.Request().prepared.size() == 1);
  CHECK(fixture.Request().prepared[0].parseMessage == Parse("good", "SELECT 1"));
  fixture.Reply("", 'I');
  CHECK(fixture.Send(BuildCloseStatement("good") + BuildSync()) == "3 Z:I");
  // A shared connection may have a statement of the same name that another caller prepared.
  CHECK(fixture.Send(Bind("good") + BuildSync()) == "E:26000 Z:I");
  CHECK(fixture.Send(Parse("new", "A") + BuildCloseStatement("new") + Bind("new") + BuildSync()) ==
        "E:26000 Z:I");
  CHECK(!fixture.forwarded);
}

// Guards against unbounded memory use by one caller.
TEST_CASE("Prepared statements and settings of one session are limited in size")
{
  SessionFixture fixture;
  const std::string large(5'000'000, 'x');
  fixture.Send(Parse("a", large) + BuildSync());
  fixture.Reply(BuildEmptyMessage('1'), 'I');
  CHECK(fixture.Send(Parse("b", large) + BuildSync()) == "E:54000 Z:I");
  CHECK(fixture.Send(BuildCloseStatement("a") + BuildSync()) == "3 Z:I");
  fixture.Send(Parse("b", large) + BuildSync());
  CHECK(fixture.forwarded);
  fixture.Reply(BuildEmptyMessage('1'), 'I');
  CHECK(fixture.Query(std::string("SET a.b = '").append(40'000, 'x') + "'") == "E:22023 Z:I");
}
