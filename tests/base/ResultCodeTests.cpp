#include "oleanderledge/base/base.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oleanderledge;

// InfoOf() uses a binary search: in an unsorted table it would return the row of "ok" for codes
// that exist.
TEST_CASE("Result codes are sorted and found by their number")
{
  const auto codes = AllResultCodes();
  CHECK(std::is_sorted(
    codes.begin(), codes.end(), [](const ResultCodeInfo& left, const ResultCodeInfo& right) {
      return left.code < right.code;
    }));
  for (const auto& info : codes) {
    CHECK(InfoOf(info.code).name == info.name);
    CHECK(info.sqlstate.size() == 5);
  }
}

// WriteLog() uses a binary search: in an unsorted table it would write known events as unregistered
// ones, without their name and level.
TEST_CASE("Log events are sorted by their number")
{
  const auto events = AllLogEvents();
  CHECK(std::is_sorted(
    events.begin(), events.end(), [](const LogEventInfo& left, const LogEventInfo& right) {
      return left.event < right.event;
    }));
}
