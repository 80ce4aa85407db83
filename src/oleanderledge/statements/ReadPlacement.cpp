#include "oleanderledge/statements/ReadPlacement.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Expected answer time of a server that has not answered yet; the mean work of a read on the
/// platform's deployments.
constexpr Duration kUnknownAnswerTime = std::chrono::milliseconds(20);
/// Round trip and start-up of a new connection at the server (12 ms).
constexpr Duration kOpenCost = std::chrono::milliseconds(15);
/// Round trip to a relay of the same availability zone, and its processing.
constexpr Duration kRelayCost = std::chrono::milliseconds(2);
constexpr int kOpeningFactor = 2;
/// What a farther server must be faster by. Traffic between regions costs several percent of what a
/// read is worth.
constexpr Duration kRegionPenalty = std::chrono::milliseconds(60);
constexpr Duration kZonePenalty = std::chrono::milliseconds(15);
/// Keeps room at the primary, which alone can run writes.
constexpr Duration kPrimaryPenalty = std::chrono::milliseconds(15);
/// A server that fails or refuses is used only if no other can be.
constexpr Duration kTroublePenalty = std::chrono::seconds(10);

Duration ExpectedTime(const ReadCandidate& aCandidate)
{
  const Duration answer =
    aCandidate.answerTime == Duration{ 0 } ? kUnknownAnswerTime : aCandidate.answerTime;
  Duration expected = answer + answer * aCandidate.inUse / std::max(1U, aCandidate.slots);
  if (!aCandidate.hasIdleConnection) {
    // An attempt that takes long will probably take longer still.
    expected +=
      (aCandidate.isRelayed ? kRelayCost : kOpenCost) + aCandidate.openingFor * kOpeningFactor;
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
    expected += kTroublePenalty;
  }
  return expected;
}

} // namespace

std::optional<std::size_t> ChooseForRead(std::span<const ReadCandidate> aCandidates)
{
  std::optional<std::size_t> best;
  Duration bestTime{ 0 };
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const ReadCandidate& candidate = aCandidates[index];
    // Asking a server that lags costs a round trip and is refused.
    if (candidate.isLagging || (!candidate.hasIdleConnection && !candidate.mayOpenConnection)) {
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
