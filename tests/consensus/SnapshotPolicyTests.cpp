#include "oleanderledge/consensus/consensus.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

constexpr Instant kStart{ std::chrono::seconds(100) };

/// A member whose newest snapshot has a given size.
RaftNode NodeWithSnapshot(std::size_t aBytes)
{
  PersistentState stored;
  stored.hardState.term = 1;
  stored.snapshot =
    RaftSnapshot{ 7,
                  1,
                  std::make_shared<const std::string>(EncodeSnapshotContent(
                    { { "a", "host-a", "127.0.0.1:1", true } }, std::string(aBytes, '.'))) };
  return { "a", RaftSettings{}, std::move(stored), std::mt19937_64(7), kStart };
}

LogEntry EntryOf(std::size_t aBytes)
{
  return { 1, 1, std::string(aBytes, '.'), LogEntryKind::Command };
}

} // namespace

TEST_CASE("SnapshotPolicyWithSmallState: a snapshot is due after the bytes of the settings")
{
  const RaftNode node = NodeWithSnapshot(100);
  SnapshotPolicy policy({ 5000, 1000 });
  policy.OnApplied(EntryOf(999));
  CHECK_FALSE(policy.IsDue(node));
  policy.OnApplied(EntryOf(1));
  CHECK(policy.IsDue(node));
  policy.OnSnapshot();
  CHECK_FALSE(policy.IsDue(node));
}

// Guards against a large state that is written again and again for small changes.
TEST_CASE("SnapshotPolicyWithLargeState: a snapshot is due after as many bytes as the last one has")
{
  const RaftNode node = NodeWithSnapshot(10'000);
  SnapshotPolicy policy({ 5000, 1000 });
  policy.OnApplied(EntryOf(9'000));
  CHECK_FALSE(policy.IsDue(node));
  policy.OnApplied(EntryOf(2'000));
  CHECK(policy.IsDue(node));
}
