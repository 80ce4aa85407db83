#include "oleanderledge/statements/PositionHistory.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Samples within this time of each other count as one; it bounds the number of samples.
constexpr Duration kResolution = std::chrono::milliseconds(20);
/// Longer than the largest accepted age of a read, 2,500 ms, on the platform's deployments.
constexpr Duration kLifetime = std::chrono::milliseconds(5000);

} // namespace

void PositionHistory::Add(Instant aSentAt, const LogPosition& aPosition)
{
  while (!this->samples.empty() && this->samples.back().sentAt <= aSentAt &&
         this->samples.back().position > aPosition) {
    // A position of a later term replaces those of a log that was rolled back; an answer that was
    // overtaken within the term says nothing new.
    if (this->samples.back().position.term >= aPosition.term) {
      return;
    }
    this->samples.pop_back();
  }
  // Positions of an earlier term may have been rolled back.
  if (!this->samples.empty() && aPosition.term > this->samples.back().position.term) {
    this->samples.clear();
  }
  if (!this->samples.empty()) {
    const Sample& last = this->samples.back();
    if (aSentAt < last.sentAt || aPosition < last.position) {
      return;
    }
    const bool mergesWithLast =
      this->samples.size() > 1 &&
      aSentAt - this->samples[this->samples.size() - 2].sentAt < kResolution;
    if (mergesWithLast || aPosition == last.position) {
      this->samples.back() = { aSentAt, aPosition };
      return;
    }
  }
  this->samples.push_back({ aSentAt, aPosition });
  while (aSentAt - this->samples.front().sentAt > kLifetime) {
    this->samples.pop_front();
  }
}

std::optional<LogPosition> PositionHistory::CoveringSince(Instant aTime) const
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
