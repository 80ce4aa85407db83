#include "oleanderledge/owner/internal/UnitExecution.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

std::string ParseMessage(const std::string& aName, const std::string& aSql)
{
  return BuildMessage('P', aName + '\0' + aSql + '\0' + std::string(2, '\0'));
}

std::string Feed(UnitExecution& aExecution, BackendSession& aSession, const std::string& aMessages)
{
  std::string sent;
  for (const MessageView& message : SplitMessages(aMessages)) {
    sent += aExecution.HandleMessage(message, aSession);
  }
  return sent;
}

} // namespace

// Guards against exhausted memory: the answer of a unit that may write is held until the write is
// acknowledged. A longer one must cancel the statement and report that it was rolled back.
TEST_CASE("A held answer over 16 MiB cancels the statement and fails the unit")
{
  StatementRequest request;
  request.payload = BuildQuery("SELECT big()");
  BackendSession session;
  UnitExecution execution(request, true);
  CHECK(execution.Start(session) == request.payload);
  const std::string row = BuildMessage('D', std::string(std::size_t{ 1024 } * 1024, 'x'));
  for (int count = 0; count < 17; ++count) {
    Feed(execution, session, row);
  }
  CHECK(execution.TakeCancelRequested());
  CHECK_FALSE(execution.TakeCancelRequested());
  Feed(
    execution, session, BuildErrorResponse("ERROR", "57014", "canceled") + BuildReadyForQuery('I'));
  REQUIRE(execution.IsFinished());
  const UnitResult result = execution.TakeResult();
  CHECK(result.code == ResultCode::MessageTooLarge);
  CHECK(result.runState == RunState::Ran);
  CHECK(result.answer.empty());
}

// Guards against running another session's statement: sessions share connections and may use the
// same statement name for different definitions.
TEST_CASE("A prepared statement is defined again only where its definition differs")
{
  StatementRequest request;
  request.readOnly = true;
  request.prepared = { { "find", ParseMessage("find", "SELECT 1") } };
  request.payload = BuildMessage('B', std::string("\0find\0", 6) + std::string(6, '\0')) +
                    BuildMessage('E', std::string(5, '\0')) + BuildSync();
  BackendSession session;
  session.NoteSettings({}, true);
  UnitExecution first(request, true);
  CHECK(first.Start(session) ==
        BuildCloseStatement("find") + request.prepared[0].parseMessage + BuildSync());
  CHECK(Feed(first,
             session,
             BuildEmptyMessage('3') + BuildEmptyMessage('1') + BuildReadyForQuery('I')) ==
        request.payload);
  Feed(first, session, BuildCommandComplete("SELECT 1") + BuildReadyForQuery('I'));
  // The responses to the injected Close and Parse are not part of the caller's answer.
  CHECK(first.TakeResult().answer == BuildCommandComplete("SELECT 1"));
  UnitExecution second(request, true);
  CHECK(second.Start(session) == request.payload);
  request.prepared[0].parseMessage = ParseMessage("find", "SELECT 2");
  UnitExecution third(request, true);
  CHECK(third.Start(session).starts_with(BuildCloseStatement("find")));
}

// Guards against settings that leak between sessions on a shared connection.
TEST_CASE("Settings of another session are removed before the unit runs")
{
  StatementRequest request;
  request.payload = BuildQuery("SELECT 1");
  request.settings = { { "app.tenant", "it's" } };
  BackendSession session;
  session.NoteSettings(std::array<SessionSetting, 1>{ { { "work_mem", "1MB" } } }, true);
  UnitExecution execution(request, true);
  CHECK(execution.Start(session) ==
        BuildQuery("RESET \"default_transaction_read_only\";RESET \"work_mem\";"
                   "SET \"app\".\"tenant\" TO 'it''s';"));
  CHECK_FALSE(execution.IsStatementSent());
  CHECK(Feed(execution, session, BuildReadyForQuery('I')) == request.payload);
  CHECK(execution.IsStatementSent());
}

// Guards against session state that leaks: LISTEN and the like leave state that is not tracked.
TEST_CASE("A statement with a lasting effect on the session requires a reset")
{
  BackendSession session;
  session.NoteCommandTag("INSERT 0 1");
  session.NoteCommandTag("SELECT 5");
  CHECK_FALSE(session.NeedsReset());
  session.NoteCommandTag("LISTEN");
  CHECK(session.NeedsReset());
  session.NoteReset();
  CHECK_FALSE(session.NeedsReset());
}
