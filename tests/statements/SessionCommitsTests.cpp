#include "oleanderledge/statements/statements.hpp"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

using namespace oleanderledge;

TEST_CASE("Without a commit on a service there is no position for it", "[session_commits]")
{
  SessionCommits commits;
  CHECK_FALSE(commits.NewestOn("ledger").has_value());
  commits.Record("archive", { 1, 7 });
  CHECK_FALSE(commits.NewestOn("ledger").has_value());
}

// Guards against stale reads: a commit on one service replaced the position of another service.
TEST_CASE("The newest commit on each service is kept, whatever the order of commits",
          "[session_commits]")
{
  CHECK(rc::check([] {
    const std::vector<std::string> services{ "ledger", "archive", "stock" };
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
      rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(1, 4), rc::gen::inRange(0, 50)));
    SessionCommits commits;
    std::map<std::string, LogPosition> expected;
    for (const auto& [service, term, offset] : steps) {
      const LogPosition position{ static_cast<std::uint64_t>(term),
                                  static_cast<std::uint64_t>(offset) };
      const std::string& name = services[static_cast<std::size_t>(service)];
      commits.Record(name, position);
      expected[name] = std::max(expected[name], position);
    }
    for (const std::string& name : services) {
      const auto newest = commits.NewestOn(name);
      RC_ASSERT(newest.has_value() == expected.contains(name));
      RC_ASSERT(!newest || *newest == expected[name]);
    }
  }));
}
