#include "oleanderledge/statements/PositionHistory.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Samples closer together than this are merged, which bounds their number.
constexpr Duration kMinSampleDistance = std::chrono::milliseconds(20);
/// Samples that are older than the newest by more than this are removed. Exceeds the largest
/// accepted age of reads in deployments, 2,500 ms.
constexpr Duration kSampleRetention = std::chrono::milliseconds(5000);

} // namespace

void PositionHistory::Add(Instant aSentAt, const LogPosition& aPosition)
{
  if (!this->samples.empty() && this->samples.back().position.term != aPosition.term) {
    if (this->samples.back().position.term > aPosition.term) {
      return;
    }
    // Positions of an earlier term may have been rolled back.
    this->samples.clear();
  }
  const auto next = std::upper_bound(
    this->samples.begin(), this->samples.end(), aSentAt, [](Instant aTime, const Sample& aSample) {
      return aTime < aSample.sentAt;
    });
  // A later sample with the same or a lower position is the better one. A sample whose position is
  // below that of an earlier one comes from an answer that was overtaken.
  if (next != this->samples.end() && next->position <= aPosition) {
    return;
  }
  if (next != this->samples.begin()) {
    const auto previous = std::prev(next);
    if (previous->position > aPosition) {
      return;
    }
    const bool isClose = previous != this->samples.begin() &&
                         aSentAt - std::prev(previous)->sentAt < kMinSampleDistance;
    if (isClose || previous->position == aPosition) {
      *previous = { aSentAt, aPosition };
      return;
    }
  }
  this->samples.insert(next, { aSentAt, aPosition });
  while (this->samples.back().sentAt - this->samples.front().sentAt > kSampleRetention) {
    this->samples.pop_front();
  }
}

std::optional<LogPosition> PositionHistory::LowestCovering(Instant aTime) const
{
  const auto found = std::lower_bound(
    this->samples.begin(), this->samples.end(), aTime, [](const Sample& aSample, Instant aLimit) {
      return aSample.sentAt < aLimit;
    });
  if (found == this->samples.end()) {
    return std::nullopt;
  }
  return found->position;
}

} // namespace oleanderledge
