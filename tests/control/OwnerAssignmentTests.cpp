#include "oleanderledge/control/OwnerAssignment.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace oleanderledge;

namespace {

OwnerCandidate Candidate(const char* aId, const char* aZone, std::size_t aOwned)
{
  return { { aId, 1, InstanceRole::Proxy, aZone, "", "", false }, aOwned };
}

} // namespace

// Guards against avoidable latency: the delay between the zones of owner and primary is added to
// every statement.
TEST_CASE("The owner is in the primary's zone, else in its region, and the least loaded there")
{
  std::vector<OwnerCandidate> candidates{ Candidate("far", "east/x", 0),
                                          Candidate("near", "west/b", 1),
                                          Candidate("busy", "west/a", 9),
                                          Candidate("idle", "west/a", 3) };
  const auto choose = [&](std::string_view aPresent, std::string_view aExcluded) {
    return OwnerAssignment::Choose(candidates, "orders", "west/a", aPresent, aExcluded)
      ->instance.id;
  };
  CHECK(choose("", "") == "idle");
  CHECK(choose("busy", "") == "busy");
  CHECK(choose("", "idle") == "busy");
  candidates.resize(2);
  CHECK(choose("far", "") == "near");
  CHECK(OwnerAssignment::Choose({}, "orders", "west/a", "", "") == nullptr);
}

// Guards against a choice that depends on the order of the candidates, and against one that always
// takes the same proxy.
TEST_CASE("Equal candidates are chosen by a hash that spreads databases and ignores their order")
{
  std::vector<OwnerCandidate> candidates{ Candidate("p1", "z", 0),
                                          Candidate("p2", "z", 0),
                                          Candidate("p3", "z", 0) };
  std::map<std::string, int> chosen;
  for (int i = 0; i < 300; ++i) {
    const std::string database = "db" + std::to_string(i);
    const std::string first =
      OwnerAssignment::Choose(candidates, database, "z", "", "")->instance.id;
    std::ranges::reverse(candidates);
    CHECK(OwnerAssignment::Choose(candidates, database, "z", "", "")->instance.id == first);
    ++chosen[first];
  }
  for (const auto& [id, count] : chosen) {
    CHECK(count > 60);
  }
  CHECK(chosen.size() == 3);
}
