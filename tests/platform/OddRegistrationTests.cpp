#include "tests/platform/FleetWithOneBackend.hpp"

using namespace oleanderledge;
using namespace oleanderledge::test;

namespace {

QByteArray Replaced(QByteArray aText, const char* aFrom, const QByteArray& aTo)
{
  return aText.replace(aFrom, aTo);
}

/// Registrations that name no server to use, made from a valid one.
std::vector<QByteArray> OddRegistrations(const QByteArray& aValid)
{
  const int depth = 100'000;
  const QByteArray nested = QByteArray(depth, '[') + QByteArray(depth, ']');
  std::vector<QByteArray> odd{ "",
                               "{",
                               "null",
                               QByteArray("\xff\xfe\x00\x01", 4),
                               nested,
                               QByteArray(depth, '['),
                               R"({"service":)" + nested + "}",
                               Replaced(aValid, R"("born":1)", R"("born":1e400)"),
                               Replaced(aValid, R"("born":1)", R"("born":9007199254740991)"),
                               Replaced(aValid, R"("born":1)", R"("born":-1)"),
                               Replaced(aValid, R"("capacity":2)", R"("capacity":1e308)"),
                               Replaced(aValid, R"("capacity":2)", R"("capacity":4294967296)"),
                               Replaced(
                                 aValid, R"("sequence":)", R"("sequence":18446744073709551616)") };
  for (const char* version : { "1", "null", "true", R"(["v1"])" }) {
    odd.push_back(Replaced(aValid, R"("version":"v1")", R"("version":)" + QByteArray(version)));
  }
  for (const char* remaining : { R"("0")", "null", "-1", "0.5", "{}" }) {
    odd.push_back(Replaced(
      aValid, R"("warmup_remaining_ms":0)", R"("warmup_remaining_ms":)" + QByteArray(remaining)));
  }
  odd.push_back(Replaced(aValid, R"("version":"v1",)", ""));
  odd.push_back(Replaced(aValid, R"("warmup_remaining_ms":0,)", ""));
  for (const char* address : { "127.0.0.1:70000",
                               "127.0.0.1:0",
                               "127.0.0.1:-1",
                               "127.0.0.1:99999999999999999999",
                               "127.0.0.1",
                               "300.0.0.1:8080",
                               "nowhere:8080",
                               ":8080",
                               "" }) {
    QByteArray body = aValid;
    const qsizetype start = body.indexOf(R"("address":")") + 11;
    body.replace(start, body.indexOf('"', start) - start, address);
    odd.push_back(body);
  }
  for (const char* name : { "", "near zone", "near-zone\\r\\nQUERY 1 READ a" }) {
    odd.push_back(
      Replaced(aValid, R"("zone":"near-zone")", R"("zone":")" + QByteArray(name) + '"'));
  }
  odd.push_back(Replaced(aValid, "near-zone", QByteArray(depth, 'z')));
  return odd;
}

} // namespace

// Guards against an entry of another writer that ends processes or takes the place of a server.
TEST_CASE("Odd registrations are refused and the other servers stay in use", "[registrations]")
{
  FleetWithOneBackend fleet;
  const QJsonArray before = fleet.Services();
  for (const char* backend : { "i-odd", "i-only" }) {
    for (const QByteArray& body : OddRegistrations(fleet.Registration("ready"))) {
      INFO(body.left(200).toStdString());
      const int status = fleet.Register(backend, body);
      CHECK(status >= 400);
      CHECK(status < 500);
    }
  }
  CHECK(fleet.Services() == before);
  CHECK(fleet.Register("ready") == 200);
  CHECK(fleet.Read("after").starts_with("DATAROW "));
}

// Guards against a line break in an id, which would end the start-up line to the server and begin a
// statement.
TEST_CASE("An id that is not a single printable word is refused", "[registrations]")
{
  FleetWithOneBackend fleet;
  const QJsonArray before = fleet.Services();
  for (const char* backend : { "i-odd%0D%0AQUERY%201%20WRITE%20a%20odd", "i%20odd", "i%00odd" }) {
    INFO(backend);
    CHECK(fleet.Register(backend, fleet.Registration("ready")) == 400);
  }
  CHECK(fleet.Register(std::string(1000, 'i').c_str(), fleet.Registration("ready")) == 400);
  CHECK(fleet.Services() == before);
}

// Guards against an entry of an unknown service that takes the address of a server.
TEST_CASE("A registration for a service without configuration changes nothing", "[registrations]")
{
  FleetWithOneBackend fleet;
  const QJsonArray before = fleet.Services();
  const QByteArray body = Replaced(fleet.Registration("ready"), "ledger", "unknown");
  CHECK(fleet.Register("i-odd", body) == 200);
  CHECK(fleet.Register("i-only", Replaced(body, R"("born":1)", R"("born":2)")) == 200);
  // Longer than the wait for a primary that registers by itself.
  FleetWithOneBackend::RunFor(std::chrono::seconds(4));
  CHECK(fleet.Services() == before);
  CHECK(fleet.Read("after").starts_with("DATAROW "));
}

// Guards against a running server that is ignored for good, because an entry of another writer
// under an id of its own took its place: its registrations seemed to be delayed ones.
TEST_CASE("A server that goes on to register is used again after an entry took its address",
          "[registrations]")
{
  FleetWithOneBackend fleet;
  const auto role = GENERATE(R"("primary")", R"("replica")");
  const QByteArray body = Replaced(fleet.Registration("ready"), R"("primary")", role);
  REQUIRE(fleet.Register("i-odd", Replaced(body, R"("born":1)", R"("born":2)")) == 200);
  REQUIRE(WaitUntil([&fleet] { return !fleet.Read("lost").starts_with("DATAROW "); }));
  SECTION("while the control instance runs")
  {
    CHECK(fleet.RegisterUntilServed(std::chrono::seconds(12)));
  }
  SECTION("after the control instance has restarted with the recorded entry")
  {
    fleet.RestartControl();
    CHECK(fleet.RegisterUntilServed(std::chrono::seconds(12)));
  }
}

// Guards against the same after an entry under the id of the server, or a departure that arrives
// late, when the server has started again.
TEST_CASE("A server that goes on to register is used again after its row was replaced or removed",
          "[registrations]")
{
  FleetWithOneBackend fleet;
  SECTION("by an entry with a later start")
  {
    QByteArray odd = Replaced(fleet.Registration("ready"), R"("born":1)", R"("born":2)");
    REQUIRE(fleet.Register("i-only", Replaced(odd, "near-zone", "elsewhere")) == 200);
  }
  SECTION("by an entry with a higher sequence number")
  {
    QByteArray odd =
      Replaced(fleet.Registration("ready"), R"("state":"ready")", R"("state":"draining")");
    REQUIRE(fleet.Register("i-only", Replaced(odd, R"("sequence":)", R"("sequence":1000)")) == 200);
  }
  SECTION("by a departure")
  {
    REQUIRE(fleet.Deregister() == 200);
  }
  const QJsonArray replaced = fleet.Services();
  REQUIRE(WaitUntil([&] {
    fleet.Register("ready");
    FleetWithOneBackend::RunFor(std::chrono::milliseconds(300));
    return fleet.Services() != replaced;
  }));
  CHECK(fleet.RegisterUntilServed(std::chrono::seconds(4)));
}
