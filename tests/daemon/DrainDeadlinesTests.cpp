#include "oleanderledge/daemon/DrainDeadlines.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

constexpr Duration kUsable = 6500ms;

HeartbeatReply ReplyOf(std::uint64_t aCommittedVersion, Instant aSentAt)
{
  HeartbeatReply reply;
  reply.committedVersion = aCommittedVersion;
  reply.sentUs = ToMicroseconds(aSentAt);
  return reply;
}

/// A directory in which the server "a" drains.
Directory DrainingDirectory(std::uint64_t aDrainingVersion, std::uint64_t aVersion)
{
  BackendRow row;
  row.name = "a";
  row.service = "ledger";
  row.draining = true;
  row.drainingVersion = aDrainingVersion;
  row.version = aVersion;
  DirectoryUpdate update;
  update.version = aVersion;
  update.backends = { row };
  Directory directory;
  directory.Apply(update);
  return directory;
}

} // namespace

TEST_CASE("The drain time counts from the last heartbeat that was answered before the drain",
          "[drain]")
{
  DrainDeadlines deadlines(kUsable);
  deadlines.RecordReply(ReplyOf(5, Instant{ 10s }));
  deadlines.RecordReply(ReplyOf(5, Instant{ 11s }));
  deadlines.RecordReply(ReplyOf(8, Instant{ 12s }));
  CHECK(deadlines.Update(DrainingDirectory(8, 9)).at("a") == Instant{ 11s } + kUsable);
  // A heartbeat that was answered before the drain may be received after it.
  deadlines.RecordReply(ReplyOf(7, Instant{ 11500ms }));
  CHECK(deadlines.Update(DrainingDirectory(8, 10)).at("a") == Instant{ 11500ms } + kUsable);
}

// Guards against a proxy that counts the whole drain time from its own start.
TEST_CASE("A proxy that has never seen the server without its drain has no deadline for it",
          "[drain]")
{
  DrainDeadlines deadlines(kUsable);
  CHECK(deadlines.Update(DrainingDirectory(8, 9)).empty());
  deadlines.RecordReply(ReplyOf(9, Instant{ 10s }));
  CHECK(deadlines.Update(DrainingDirectory(8, 9)).empty());
  // The version is missing in rows of an earlier program version.
  CHECK(deadlines.Update(DrainingDirectory(0, 10)).empty());
}

TEST_CASE("Many later versions do not extend a drain deadline", "[drain]")
{
  DrainDeadlines deadlines(kUsable);
  deadlines.RecordReply(ReplyOf(5, Instant{ 10s }));
  const Instant deadline = deadlines.Update(DrainingDirectory(8, 9)).at("a");
  for (std::uint64_t version = 9; version < 1000; ++version) {
    deadlines.RecordReply(ReplyOf(version, Instant{ 20s }));
  }
  CHECK(deadlines.Update(DrainingDirectory(8, 1000)).at("a") == deadline);
}

// Guards against statements after the drain time at a proxy that learned late of the drain.
TEST_CASE("A drain deadline is never later than the drain time after the acknowledgement",
          "[drain]")
{
  rc::prop("any delays of heartbeats, replies and updates", [] {
    const auto delay = [] { return Duration{ *rc::gen::inRange(0, 3'000'000) }; };
    DrainDeadlines deadlines(kUsable);
    const Instant committedAt = Instant{ 100s };
    const Instant acknowledgedAt = committedAt + delay();
    Instant sentAt{ 95s };
    for (int heartbeat = 0; heartbeat < 50; ++heartbeat) {
      sentAt += 200ms + delay();
      const Instant answeredAt = sentAt + delay();
      deadlines.RecordReply(ReplyOf(answeredAt < committedAt ? 7 : 8, sentAt));
    }
    const DrainDeadlineMap& found = deadlines.Update(DrainingDirectory(8, 8));
    RC_ASSERT((found.empty() || found.at("a") <= acknowledgedAt + kUsable));
  });
}

// Guards against a proxy that takes its directory for current although the leader has a newer one.
TEST_CASE("A directory was current at the last heartbeat that was answered with no newer version",
          "[drain]")
{
  DrainDeadlines deadlines(kUsable);
  CHECK(deadlines.DirectoryCurrentAt(DrainingDirectory(8, 9)) == Instant{});
  deadlines.RecordReply(ReplyOf(7, Instant{ 10s }));
  deadlines.RecordReply(ReplyOf(9, Instant{ 11s }));
  deadlines.RecordReply(ReplyOf(10, Instant{ 12s }));
  CHECK(deadlines.DirectoryCurrentAt(DrainingDirectory(8, 8)) == Instant{ 10s });
  CHECK(deadlines.DirectoryCurrentAt(DrainingDirectory(8, 9)) == Instant{ 11s });
  CHECK(deadlines.DirectoryCurrentAt(DrainingDirectory(8, 11)) == Instant{ 12s });
}
