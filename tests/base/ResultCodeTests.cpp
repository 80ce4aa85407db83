#include "oleanderledge/base/base.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oleanderledge;

// Guards the binary search in InfoOf(): an unsorted table would map codes to "ok".
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

// Guards the binary search in WriteLog(): an unsorted table would drop event names and levels.
TEST_CASE("Log events are sorted by their number")
{
  const auto events = AllLogEvents();
  CHECK(std::is_sorted(
    events.begin(), events.end(), [](const LogEventInfo& left, const LogEventInfo& right) {
      return left.event < right.event;
    }));
}
