#include "oleanderledge/replay/replay.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

#include <unistd.h>

using namespace oleanderledge;

namespace {

constexpr char kHeader[] =
  R"({"capacity":1,"classes":[{"name":"bookings","target_us":50000},{"name":"reprints","target_us":10000000}]})"
  "\n";

Result<ReplayOutcome> ReplayText(const std::string& aText)
{
  const auto path =
    std::filesystem::temp_directory_path() / ("ol_replay_" + std::to_string(getpid()) + ".trace");
  std::ofstream(path) << aText;
  auto outcome = ReplayTrace(path.string());
  std::filesystem::remove(path);
  return outcome;
}

} // namespace

// Guards against decisions or counts that are attributed to the wrong event, unit or class.
TEST_CASE("A replay counts the outcomes of each class and lists the decisions")
{
  const auto replayed = ReplayText(
    std::string(kHeader) +
    R"({"time_us":0,"event":"enqueue","id":1,"class":"reprints","caller":"a","deadline_us":10000000}
{"time_us":0,"event":"enqueue","id":2,"class":"bookings","caller":"b","deadline_us":50000}
{"time_us":0,"event":"dispatch"}
{"time_us":1000,"event":"complete","id":2,"service_us":1000}
{"time_us":1000,"event":"gone","id":1}
{"time_us":2000,"event":"enqueue","id":3,"class":"bookings","caller":"b","deadline_us":52000}
{"time_us":90000,"event":"tick"}
)");
  REQUIRE(replayed);
  const ReplayOutcome& outcome = replayed.value();
  const std::vector<ReplayDecision> expected{ { 4, 2, ResultCode::Ok },
                                              { 6, 1, ResultCode::CallerGone },
                                              { 8, 3, ResultCode::TargetUnreachable } };
  CHECK(outcome.decisions == expected);
  CHECK(outcome.classes.at("bookings") ==
        ReplayClassOutcome{ 1, 1, { { ResultCode::TargetUnreachable, 1 } } });
  CHECK(outcome.classes.at("reprints") ==
        ReplayClassOutcome{ 0, 0, { { ResultCode::CallerGone, 1 } } });
}

// Guards against a damaged trace that is replayed up to the damage and passes as a shorter one.
TEST_CASE("A damaged trace is rejected and the error names the line")
{
  std::string valid = kHeader;
  valid += "{\"time_us\":4,\"event\":\"tick\"}\n";
  for (const std::string& damaged :
       { std::string("{\"time_us\":5,\"event\":\"ti"),
         std::string("{\"time_us\":5,\"event\":\"unknown\"}"),
         std::string("{\"time_us\":3,\"event\":\"tick\"}"),
         std::string("{\"time_us\":5,\"event\":\"complete\",\"id\":9,\"service_us\":1}") }) {
    const auto replayed = ReplayText(valid + damaged);
    REQUIRE_FALSE(replayed);
    CHECK(replayed.error().message.find(":3: ") != std::string::npos);
  }
  CHECK_FALSE(ReplayText(""));
}

// Guards against a file of expected outcomes that lacks part of an outcome, and against one whose
// decisions were changed without their digest.
TEST_CASE("An outcome is the same after it is written and read")
{
  ReplayOutcome outcome;
  outcome.classes["bookings"] = { 2, 1, { { ResultCode::TargetUnreachable, 1 } } };
  outcome.decisions = { { 4, 2, ResultCode::Ok }, { 6, 1, ResultCode::TargetUnreachable } };
  const auto path =
    std::filesystem::temp_directory_path() / ("ol_replay_" + std::to_string(getpid()) + ".yaml");
  const std::string text = FormatExpectedOutcome(outcome);
  std::ofstream(path) << text;
  const auto loaded = LoadExpectedOutcome(path.string());
  std::string damaged = text;
  damaged.replace(damaged.find("6:1:1102"), 3, "6:2");
  std::ofstream(path) << damaged;
  const auto refused = LoadExpectedOutcome(path.string());
  std::filesystem::remove(path);
  REQUIRE(loaded);
  CHECK(loaded.value().classes == outcome.classes);
  CHECK(loaded.value().decisions == outcome.decisions);
  // The digest no longer matches the decisions.
  CHECK_FALSE(refused);
}
