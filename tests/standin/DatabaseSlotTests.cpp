#include "PgConnection.hpp"
#include "SlotGroup.hpp"

#include <QJsonArray>

#include <catch2/catch.hpp>

using namespace oleanderledge::stand_in;

TEST_CASE("A frozen slot sends no responses and resumes after the thaw")
{
  SlotGroup group(1);
  PgConnection connection(group.ClientPort(0));
  group.On(0, [](DatabaseSlot& aSlot) { aSlot.Freeze(); });
  connection.Start("INSERT INTO orders (item) VALUES ('a')");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  PQconsumeInput(connection.Raw());
  CHECK(PQisBusy(connection.Raw()) == 1);
  CHECK(group.Received(0) == 1);
  group.On(0, [](DatabaseSlot& aSlot) { aSlot.Thaw(); });
  CHECK(connection.Finish().tag == "INSERT 0 1");
}

// Guards against statements that are lost when their service time ends during the freeze.
TEST_CASE("A statement in progress when the slot freezes completes after the thaw")
{
  SlotGroup group(1, [](SlotSettings& aSettings) { aSettings.serviceMs = 50; });
  PgConnection connection(group.ClientPort(0));
  connection.Start("SELECT 1");
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  group.On(0, [](DatabaseSlot& aSlot) { aSlot.Freeze(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  PQconsumeInput(connection.Raw());
  CHECK(PQisBusy(connection.Raw()) == 1);
  group.On(0, [](DatabaseSlot& aSlot) { aSlot.Thaw(); });
  CHECK(connection.Finish().Value() == "1");
}

TEST_CASE("A cut slot drops and refuses connections until it is healed")
{
  SlotGroup group(1);
  PgConnection connection(group.ClientPort(0));
  group.On(0, [](DatabaseSlot& aSlot) { aSlot.Cut(CutScope::All); });
  CHECK(connection.Query("SELECT 1").sqlstate == "lost");
  CHECK_FALSE(PgConnection(group.ClientPort(0)).IsOpen());
  group.On(0, [](DatabaseSlot& aSlot) { aSlot.Heal(); });
  CHECK(PgConnection(group.ClientPort(0)).IsOpen());
}

TEST_CASE("The dump contains the committed rows of all tables")
{
  SlotGroup group(1);
  PgConnection connection(group.ClientPort(0));
  connection.Query("INSERT INTO orders (item) VALUES ('a')");
  connection.Query("BEGIN; INSERT INTO orders (item) VALUES ('b')");
  QJsonObject dump;
  group.On(0, [&](DatabaseSlot& aSlot) { dump = aSlot.Dump(); });
  CHECK(dump["role"].toString() == "primary");
  const QJsonArray rows = dump["tables"].toObject()["orders"].toArray();
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].toObject()["item"].toString() == "a");
}
