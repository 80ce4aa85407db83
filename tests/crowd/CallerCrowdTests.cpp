#include "tests/crowd/CrowdFleet.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge::test;

namespace {

constexpr std::size_t kKiB = 1024;
constexpr std::size_t kMiB = 1024 * kKiB;
/// Number of clients of most crowds, below the connections that the proxy accepts.
constexpr std::size_t kClients = 250;

/// Time limits far below their defaults, so that the tests end soon.
constexpr char kShortTimes[] = "  start_up_ms: 1500\n  message_ms: 1500\n  response_ms: 1500\n";

const std::string kStartUp = "STARTUP orders tester\r\n";

/// A legal message of this size, line end included.
std::string MessageOf(std::size_t aBytes, const std::string& aBegin)
{
  return aBegin + std::string(aBytes - aBegin.size() - 2, 'x') + "\r\n";
}

/// A message of the largest legal size without its line end.
std::string UnfinishedMessage()
{
  const std::string message = MessageOf(kMiB, "QUERY q WRITE b ");
  return message.substr(0, message.size() - 2);
}

CrowdFleetOptions ShortTimes()
{
  CrowdFleetOptions options;
  options.proxyLimits = kShortTimes;
  return options;
}

} // namespace

// Guards against memory that grows with the messages that all clients send at once.
TEST_CASE("Crowd: messages of 1 MiB, many at once, in one piece", "[whole_messages]")
{
  CrowdFleet fleet(ShortTimes());
  CrowdScript script;
  script.head = kStartUp;
  script.body = MessageOf(kMiB, "QUERY q WRITE b ");
  script.bodyCount = 4;
  script.bytesPerTurn = kMiB;
  Crowd crowd(fleet.CallersAddress(), kClients, script);
  fleet.Play({ &crowd });
  fleet.Check({ &crowd });
}

// Guards against memory for messages whose end does not arrive.
TEST_CASE("Crowd: messages of 1 MiB in small pieces without the end", "[split_messages]")
{
  CrowdFleet fleet(ShortTimes());
  CrowdScript script;
  script.head = kStartUp;
  script.body = UnfinishedMessage();
  script.bytesPerTurn = 4 * kKiB;
  Crowd crowd(fleet.CallersAddress(), kClients, script);
  fleet.Play({ &crowd });
  fleet.Check({ &crowd });
}

// Guards against memory for clients that have not identified themselves.
TEST_CASE("Crowd: messages of 1 MiB without the end, before the start-up", "[before_start_up]")
{
  CrowdFleet fleet(ShortTimes());
  CrowdScript script;
  script.body = UnfinishedMessage();
  script.bytesPerTurn = 16 * kKiB;
  Crowd crowd(fleet.CallersAddress(), kClients, script);
  fleet.Play({ &crowd });
  fleet.Check({ &crowd });
}

// Guards against memory for a message that is refused only after it was read.
TEST_CASE("Crowd: one message far over the limit", "[over_limit]")
{
  CrowdFleet fleet(ShortTimes());
  CrowdScript script;
  script.head = kStartUp + "QUERY q WRITE b ";
  script.body = std::string(kMiB, 'x');
  script.bodyCount = 24;
  script.bytesPerTurn = kMiB;
  Crowd crowd(fleet.CallersAddress(), kClients, script);
  fleet.Play({ &crowd });
  fleet.Check({ &crowd });
}

// Guards against memory for statements that wait for the one before, and for their answers.
TEST_CASE("Crowd: statements sent ahead, answers unread", "[sent_ahead]")
{
  constexpr std::size_t kStatements = 20'000;
  CrowdFleet fleet(ShortTimes());
  CrowdScript script;
  script.head = kStartUp;
  script.body = "QUERY q READ a\r\n";
  script.bodyCount = kStatements;
  Crowd crowd(fleet.CallersAddress(), 100, script);
  fleet.Play({ &crowd });
  fleet.Check({ &crowd });
}

// Guards against memory for answers that are not read.
TEST_CASE("Crowd: readers that stop", "[unread_answers]")
{
  CrowdFleet fleet(ShortTimes());
  fleet.group.items["large"] = std::string(256 * kKiB, 'y');
  CrowdScript script;
  script.head = kStartUp;
  script.body = "QUERY q READ large\r\n";
  script.bodyCount = 60;
  Crowd crowd(fleet.CallersAddress(), 40, script);
  fleet.Play({ &crowd });
  fleet.Check({ &crowd });
}

// Guards against connections that are held by messages that never end.
TEST_CASE("Crowd: senders that stop halfway or send a byte now and then", "[slow_senders]")
{
  CrowdFleetOptions options = ShortTimes();
  options.maxCallers = 100;
  CrowdFleet fleet(options);
  CrowdScript script;
  script.head = kStartUp + "QUERY q WRITE b " + std::string(16 * kKiB, 'x');
  Crowd halfway(fleet.CallersAddress(), 100, script);
  script.head = "STARTUP ";
  script.body = std::string(100, 'x');
  script.bytesPerTurn = 1;
  script.pause = std::chrono::milliseconds(200);
  Crowd slow(fleet.CallersAddress(), 100, script);
  fleet.Play({ &halfway, &slow });
  fleet.Check({ &halfway, &slow });
}

// Guards against memory for settings and prepared statements that sessions keep.
TEST_CASE("Crowd: many settings and prepared statements", "[kept_values]")
{
  constexpr std::size_t kValueBytes = 128 * kKiB;
  CrowdFleet fleet(ShortTimes());
  CrowdScript script;
  script.head = kStartUp;
  for (int number = 1; number <= 12; ++number) {
    script.body += MessageOf(kValueBytes, "QUERY q SET s" + std::to_string(number) + " ");
    script.body += MessageOf(kValueBytes, "QUERY q PREPARE p" + std::to_string(number) + " READ ");
  }
  script.readsAnswers = true;
  Crowd crowd(fleet.CallersAddress(), 100, script);
  fleet.Play({ &crowd });
  fleet.Check({ &crowd });
}

// Guards against memory for the names of statements on pooled connections, which outlive sessions.
TEST_CASE("Crowd: a client that prepares and executes one statement after another",
          "[prepared_statements]")
{
  constexpr std::size_t kTemplateBytes = 256 * kKiB;
  CrowdFleet fleet(ShortTimes());
  for (int round = 1; round <= 15; ++round) {
    std::vector<std::string> lines;
    for (int number = 1; number <= 50; ++number) {
      const std::string name = std::to_string(round * 100 + number);
      lines.push_back("QUERY q PREPARE p READ " + name + std::string(kTemplateBytes, 'x'));
      lines.emplace_back("QUERY q EXECUTE p a");
    }
    fleet.Ask(0, lines);
  }
  fleet.Check();
}

// Guards against memory for statements that wait for a server.
TEST_CASE("Crowd: messages of 1 MiB for a server that does not answer", "[waiting_statements]")
{
  CrowdFleet fleet(ShortTimes());
  fleet.database.silent = true;
  CrowdScript script;
  script.head = kStartUp;
  script.body = MessageOf(kMiB, "QUERY q WRITE b ");
  script.bytesPerTurn = kMiB;
  Crowd crowd(fleet.CallersAddress(), kClients, script);
  fleet.Play({ &crowd });
  fleet.database.silent = false;
  fleet.Check({ &crowd });
}

// Guards against transactions that hold all connections to a server.
TEST_CASE("Crowd: idle transactions", "[idle_transactions]")
{
  CrowdFleetOptions options = ShortTimes();
  options.transactionIdleMs = 500;
  CrowdFleet fleet(options);
  CrowdScript script;
  script.head = kStartUp;
  script.body =
    "QUERY q BEGIN\r\nQUERY q WRITE b x\r\n" + MessageOf(512 * kKiB, "QUERY q WRITE c ");
  script.readsAnswers = true;
  Crowd crowd(fleet.CallersAddress(), 100, script);
  fleet.Play({ &crowd });
  fleet.Check({ &crowd });
}

// Guards against descriptors that connections without a start-up use up.
TEST_CASE("Crowd: many connections", "[connections]")
{
  CrowdFleetOptions options = ShortTimes();
  options.maxCallers = 100;
  CrowdFleet fleet(options);
  CrowdScript script;
  Crowd silent(fleet.CallersAddress(), 400, script);
  fleet.Play({ &silent });
  fleet.Check({ &silent });
}

// Guards against memory at a proxy whose connections another one uses, and at that one.
TEST_CASE("Crowd: messages of 1 MiB over a relay", "[relayed]")
{
  CrowdFleetOptions options = ShortTimes();
  options.proxies = 2;
  options.connectionLimit = 1;
  CrowdFleet fleet(options);
  CrowdScript script;
  script.head = kStartUp;
  script.body = MessageOf(kMiB, "QUERY q WRITE b ") + "QUERY q BEGIN\r\n" +
                MessageOf(kMiB, "QUERY q WRITE b ") + "QUERY q COMMIT\r\n";
  script.bodyCount = 2;
  script.bytesPerTurn = kMiB;
  Crowd first(fleet.CallersAddress(0), kClients / 2, script);
  Crowd second(fleet.CallersAddress(1), kClients / 2, script);
  fleet.Play({ &first, &second });
  fleet.Check({ &first, &second });
}
