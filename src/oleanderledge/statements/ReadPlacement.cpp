#include "oleanderledge/statements/ReadPlacement.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Expected answer time of a server without an average yet: the mean execution time of reads in
/// deployments.
constexpr Duration kDefaultAnswerTime = std::chrono::milliseconds(20);
/// Opening a connection: 12 ms of start-up at the server, and 3 ms for the round trip.
constexpr Duration kConnectCost = std::chrono::milliseconds(15);
/// Round trip to a relay in the same availability zone, and its processing.
constexpr Duration kRelayCost = std::chrono::milliseconds(2);
/// Weight of the age of a pending connection attempt: a slow attempt is likely to remain slow.
constexpr int kPendingConnectFactor = 2;
/// A server in another region, or another zone, is chosen only if it is faster by this. Traffic
/// between regions costs several percent of the value of a read.
constexpr Duration kRegionPenalty = std::chrono::milliseconds(60);
constexpr Duration kZonePenalty = std::chrono::milliseconds(15);
/// Keeps capacity free at the primary, the only server that can execute writes.
constexpr Duration kPrimaryPenalty = std::chrono::milliseconds(15);
/// Ranks failing and overloaded servers below all others.
constexpr Duration kUnhealthyPenalty = std::chrono::seconds(10);

Duration ExpectedTime(const ReadCandidate& aCandidate)
{
  const Duration answer =
    aCandidate.answerTime == Duration{ 0 } ? kDefaultAnswerTime : aCandidate.answerTime;
  Duration expected = answer + answer * aCandidate.inUse / std::max(1U, aCandidate.slots);
  if (!aCandidate.hasIdleConnection) {
    expected += (aCandidate.isRelayed ? kRelayCost : kConnectCost) +
                aCandidate.openingDuration * kPendingConnectFactor;
  }
  if (aCandidate.distance == ZoneDistance::OtherRegion) {
    expected += kRegionPenalty;
  } else if (aCandidate.distance == ZoneDistance::SameRegion) {
    expected += kZonePenalty;
  }
  if (aCandidate.isPrimary) {
    expected += kPrimaryPenalty;
  }
  if (aCandidate.isFailing || aCandidate.isOverloaded) {
    expected += kUnhealthyPenalty;
  }
  return expected;
}

} // namespace

std::optional<std::size_t> ChooseReadCandidate(std::span<const ReadCandidate> aCandidates)
{
  std::optional<std::size_t> best;
  Duration bestTime{ 0 };
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const ReadCandidate& candidate = aCandidates[index];
    // A lagging server would reject the read after a round trip.
    if (candidate.isLagging || (!candidate.hasIdleConnection && !candidate.canOpenConnection)) {
      continue;
    }
    const Duration expected = ExpectedTime(candidate);
    if (!best || expected < bestTime) {
      best = index;
      bestTime = expected;
    }
  }
  return best;
}

} // namespace oleanderledge
