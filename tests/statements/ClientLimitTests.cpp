#include "tests/statements/ServiceWithReplicas.hpp"

using namespace oleanderledge;
using namespace oleanderledge::test;

namespace {

constexpr std::size_t kKiB = 1024;

std::size_t CountOf(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + aPart.size())) {
    ++count;
  }
  return count;
}

/// Sends text in an existing session and collects what arrives until the condition holds or the
/// connection closes.
std::string SendRaw(Caller& aCaller,
                    const std::string& aText,
                    const std::function<bool(const std::string&)>& aIsDone)
{
  aCaller.socket.write(aText.data(), static_cast<qint64>(aText.size()));
  std::string answer;
  RunUntil([&aCaller, &answer, &aIsDone] {
    answer += aCaller.socket.readAll().toStdString();
    return aIsDone(answer) || aCaller.socket.state() == QAbstractSocket::UnconnectedState;
  });
  return answer;
}

bool IsClosed(Caller& aCaller)
{
  return RunUntil(
    [&aCaller] { return aCaller.socket.state() == QAbstractSocket::UnconnectedState; });
}

std::uint64_t ClosedFor(const StatementService& aService, ClosingReason aReason)
{
  const auto counts = aService.Counters().clientsClosed;
  const auto found = counts.find(aReason);
  return found == counts.end() ? 0 : found->second;
}

} // namespace

// Guards against the largest legal message being refused or lost with nothing else to do.
TEST_CASE("A message of 1 MiB is served", "[client_limits]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "orders");
  const std::string begin = "QUERY w1 WRITE a ";
  const std::string data(platform::kMaxLineBytes - begin.size() - 2, 'x');
  CHECK(caller.Send(begin + data) == "COMPLETE signature-i-primary\r\nREADY I -\r\n");
  CHECK(fixture.group.items["a"] == data);
  const std::string set = "QUERY s1 SET s ";
  CHECK(caller.Send(set + std::string(platform::kMaxLineBytes - set.size() - 2, 'x')) ==
        "COMPLETE -\r\nREADY I -\r\n");
}

// Guards against statements that are lost or reordered when a client sends many of them ahead.
TEST_CASE("Statements sent ahead are answered in order", "[client_limits]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "orders");
  constexpr std::size_t kCount = 3000;
  std::string text;
  for (std::size_t number = 0; number < kCount; ++number) {
    text += number % 3 == 0 ? "QUERY r" + std::to_string(number) + " READ a\r\n"
                            : "QUERY s SET name value\r\n";
  }
  const std::string answer = SendRaw(caller, text, [](const std::string& aAnswer) {
    return CountOf(aAnswer, "READY I -\r\n") == kCount;
  });
  CHECK(CountOf(answer, "READY I -\r\n") == kCount);
  CHECK(CountOf(answer, "DATAROW first") == kCount / 3);
  std::vector<std::string> ids;
  for (const auto& [id, database] : fixture.group.runs) {
    if (id.starts_with('r')) {
      ids.push_back(id);
    }
  }
  REQUIRE(ids.size() == kCount / 3);
  for (std::size_t number = 0; number < ids.size(); ++number) {
    CHECK(ids[number] == "r" + std::to_string(number * 3));
  }
}

// Guards against answers that are lost when a client starts to read late.
TEST_CASE("Answers that were not read at once are delivered later", "[client_limits]")
{
  const Application application;
  ServiceWithReplicas fixture;
  constexpr std::size_t kCount = 40;
  fixture.group.items["large"] = std::string(256 * kKiB, 'y');
  Caller caller(fixture.address, "orders");
  caller.socket.setReadBufferSize(1024);
  std::string text;
  for (std::size_t number = 0; number < kCount; ++number) {
    text += "QUERY r READ large\r\n";
  }
  caller.socket.write(text.data(), static_cast<qint64>(text.size()));
  const Instant end = MonotonicNow() + std::chrono::milliseconds(500);
  RunUntil([end] { return MonotonicNow() >= end; });
  caller.socket.setReadBufferSize(0);
  const std::string answer = SendRaw(caller, "", [](const std::string& aAnswer) {
    return CountOf(aAnswer, "READY I -\r\n") == kCount;
  });
  CHECK(CountOf(answer, "DATAROW yyy") == kCount);
}

// Guards against an error that a client takes for the answer to its COMMIT, which had run.
TEST_CASE("A violation is answered after the statements before it", "[client_limits]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "orders");
  caller.Send("QUERY b BEGIN");
  caller.Send("QUERY w WRITE a second");
  const std::string answer =
    SendRaw(caller, "QUERY c COMMIT\r\nnonsense\r\n", [](const std::string&) { return false; });
  CHECK(answer.starts_with("COMPLETE signature-i-primary\r\nREADY I -\r\nERROR MALFORMED "));
  CHECK(fixture.group.items["a"] == "second");
  CHECK(ClosedFor(*fixture.service, ClosingReason::MalformedMessage) == 1);
}

// Guards against sessions that keep any amount of settings and prepared statements, and against
// counting what was replaced or removed.
TEST_CASE("A session keeps a limited size of settings and prepared statements", "[client_limits]")
{
  const Application application;
  StatementServiceSettings settings;
  settings.clientLimits.sessionBytes = 8 * kKiB;
  ServiceWithReplicas fixture(1, settings);
  Caller caller(fixture.address, "orders");
  const std::string value(4 * kKiB, 'x');
  for (int round = 0; round < 5; ++round) {
    CHECK(caller.Send("QUERY s SET one " + value).starts_with("COMPLETE"));
  }
  CHECK(caller.Send("QUERY s SET two " + value).starts_with("ERROR MALFORMED "));
  CHECK(caller.Send("QUERY p PREPARE p READ " + value).starts_with("ERROR MALFORMED "));
  CHECK(caller.Send("QUERY e EXECUTE p a").starts_with("ERROR NOSTMT "));
  CHECK(caller.Send("QUERY s SET one small").starts_with("COMPLETE"));
  for (int round = 0; round < 5; ++round) {
    CHECK(caller.Send("QUERY p PREPARE p READ " + value).starts_with("COMPLETE"));
    CHECK(caller.Send("QUERY d DEALLOCATE p").starts_with("COMPLETE"));
  }
  CHECK(caller.Send("QUERY r READ a").starts_with("DATAROW first one=small\r\n"));
}

// Guards against connections to servers that collect the prepared statements of all sessions.
TEST_CASE("A connection with many prepared statements is reset before its next use",
          "[client_limits]")
{
  const Application application;
  StatementServiceSettings settings;
  settings.clientLimits.preparedBytes = 4 * kKiB;
  ServiceWithReplicas fixture(1, settings);
  Caller caller(fixture.address, "orders");
  const std::string text(3 * kKiB, 'x');
  for (int number = 0; number < 6; ++number) {
    caller.Send("QUERY p PREPARE p READ " + std::to_string(number) + text);
    CHECK(caller.Send("QUERY e EXECUTE p a").starts_with("DATAROW first"));
  }
  CHECK(fixture.RunsOf("DISCARD") >= 2);
}

// Guards against a transaction that collects prepared statements without end.
TEST_CASE("A transaction with too many prepared statements is aborted", "[client_limits]")
{
  const Application application;
  StatementServiceSettings settings;
  settings.clientLimits.preparedBytes = 4 * kKiB;
  settings.clientLimits.sessionBytes = 4 * kKiB;
  ServiceWithReplicas fixture(1, settings);
  Caller caller(fixture.address, "orders");
  const std::string text(3 * kKiB, 'x');
  caller.Send("QUERY b BEGIN");
  std::string answer;
  for (int number = 0; number < 6 && !answer.starts_with("ERROR"); ++number) {
    caller.Send("QUERY p PREPARE p READ " + std::to_string(number) + text);
    answer = caller.Send("QUERY e EXECUTE p a");
  }
  CHECK(answer.starts_with("ERROR ABORTED "));
  CHECK(answer.ends_with("READY E -\r\n"));
  CHECK(caller.Send("QUERY x ROLLBACK") == "COMPLETE -\r\nREADY I -\r\n");
  CHECK(caller.Send("QUERY r READ a").starts_with("DATAROW first"));
}

// Guards against connections that are held by clients that send nothing, or only a part.
TEST_CASE("A start-up and a message must be complete in time", "[client_limits]")
{
  const Application application;
  StatementServiceSettings settings;
  settings.clientLimits.startUpTime = std::chrono::milliseconds(400);
  settings.clientLimits.messageTime = std::chrono::milliseconds(400);
  ServiceWithReplicas fixture(1, settings);
  Caller idle(fixture.address, "orders");
  Caller halfway(fixture.address, "orders");
  halfway.socket.write("QUERY r RE");
  QTcpSocket silent;
  silent.connectToHost(QHostAddress::LocalHost,
                       static_cast<quint16>(std::stoi(fixture.address.substr(10))));
  CHECK(RunUntil([&fixture] {
    return ClosedFor(*fixture.service, ClosingReason::StartUpTime) == 1 &&
           ClosedFor(*fixture.service, ClosingReason::MessageTime) == 1;
  }));
  CHECK(IsClosed(halfway));
  CHECK(idle.Send("QUERY r READ a").starts_with("DATAROW first"));
}

// Guards against memory for a client that does not read, also while its connection is being closed.
TEST_CASE("A response must be read in time", "[client_limits]")
{
  const Application application;
  StatementServiceSettings settings;
  settings.clientLimits.responseTime = std::chrono::milliseconds(400);
  ServiceWithReplicas fixture(1, settings);
  fixture.group.items["large"] = std::string(1000 * kKiB, 'y');
  Caller caller(fixture.address, "orders");
  Caller leaving(fixture.address, "orders");
  caller.socket.setReadBufferSize(1024);
  leaving.socket.setReadBufferSize(1024);
  std::string text;
  for (int number = 0; number < 30; ++number) {
    text += "QUERY r READ large\r\n";
  }
  caller.socket.write(text.data(), static_cast<qint64>(text.size()));
  leaving.socket.write(text.data(), static_cast<qint64>(text.size()));
  leaving.socket.write("nonsense\r\n");
  CHECK(RunUntil([&fixture] {
    return ClosedFor(*fixture.service, ClosingReason::ResponseTime) == 2 &&
           fixture.service->Counters().sessions == 0;
  }));
  CHECK(fixture.service->Counters().clientBytes == 0);
}

// Guards against a limit of connections that closes sessions which behave.
TEST_CASE("At the limit of connections others are refused or connections without start-up closed",
          "[client_limits]")
{
  const Application application;
  StatementServiceSettings settings;
  BudgetLimits limits;
  limits.connections = 2;
  settings.budget = std::make_shared<ResourceBudget>(limits);
  ServiceWithReplicas fixture(1, settings);
  Caller first(fixture.address, "orders");
  REQUIRE(first.startUpAnswer == "READY I -\r\n");
  QTcpSocket silent;
  silent.connectToHost(QHostAddress::LocalHost,
                       static_cast<quint16>(std::stoi(fixture.address.substr(10))));
  REQUIRE(RunUntil([&fixture] { return fixture.service->Counters().sessions == 2; }));
  Caller second(fixture.address, "orders");
  CHECK(second.startUpAnswer == "READY I -\r\n");
  Caller third(fixture.address, "orders");
  CHECK(third.startUpAnswer.starts_with("ERROR OVERLOAD "));
  CHECK(first.Send("QUERY r READ a").starts_with("DATAROW first"));
  CHECK(second.Send("QUERY r READ a").starts_with("DATAROW first"));
  CHECK(ClosedFor(*fixture.service, ClosingReason::Connections) == 2);
}

// Guards against closing sessions that hold little when others fill the memory.
TEST_CASE("Sessions that hold most are closed first", "[client_limits]")
{
  const Application application;
  StatementServiceSettings settings;
  BudgetLimits limits;
  limits.bytes = 300 * kKiB;
  settings.budget = std::make_shared<ResourceBudget>(limits);
  ServiceWithReplicas fixture(1, settings);
  Caller usual(fixture.address, "orders");
  usual.Send("QUERY s SET name value");
  Caller smaller(fixture.address, "orders");
  smaller.Send("QUERY s SET name " + std::string(100 * kKiB, 'x'));
  Caller larger(fixture.address, "orders");
  const std::string part = "QUERY s SET name " + std::string(250 * kKiB, 'x');
  larger.socket.write(part.data(), static_cast<qint64>(part.size()));
  CHECK(IsClosed(larger));
  CHECK(smaller.Send("QUERY r READ a").starts_with("DATAROW first"));
  CHECK(usual.Send("QUERY r READ a").starts_with("DATAROW first name=value"));
  CHECK(ClosedFor(*fixture.service, ClosingReason::TotalBytes) == 1);
}

// Guards against more statements in progress than the process can hold, and against a refusal of
// statements that had run.
TEST_CASE("Statements beyond the limit of the process are refused", "[client_limits]")
{
  const Application application;
  StatementServiceSettings settings;
  BudgetLimits limits;
  limits.statements = 1;
  settings.budget = std::make_shared<ResourceBudget>(limits);
  ServiceWithReplicas fixture(1, settings);
  Caller first(fixture.address, "orders");
  Caller second(fixture.address, "orders");
  fixture.primary.silent = true;
  first.socket.write("QUERY r1 READ a\r\n");
  REQUIRE(RunUntil([&fixture] { return fixture.service->Counters().clientBytes > 0; }));
  CHECK(second.Send("QUERY r2 WRITE a second").starts_with("ERROR OVERLOAD "));
  CHECK(fixture.RunsOf("r2") == 0);
}
