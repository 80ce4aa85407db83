#include "oleanderledge/statements/BackendPace.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Slow answers take longer than this, and than the multiple of the shortest one; quick ones at
/// most half of it. Of the shortest target in deployments, 400 ms, a fifth is spent at most on
/// waiting for a connection, and this is left for the answer.
constexpr Duration kSlowAnswerTime = std::chrono::milliseconds(320);
constexpr int kSlowAnswerFactor = 2;
/// A decrease takes the limit to a part of it: half, or less if the answer was much slower.
constexpr double kMostFactor = 0.5;
constexpr double kLeastFactor = 0.25;
/// 16 proxies for each slot of a server with 5 slots are 80 proxies.
constexpr double kMinSize = 1.0 / 16;
/// Longest pause between two statements, the shortest target in deployments: a server that has
/// become quick meanwhile must not stay idle.
constexpr Duration kMaxPause = std::chrono::milliseconds(400);
/// The limit is lifted after this time without a sign of overload, and at the latest after the
/// second time, since ConcurrencyWindow has adapted by then.
constexpr Duration kQuietTime = std::chrono::seconds(3);
constexpr Duration kMaxAge = std::chrono::seconds(10);

} // namespace

void BackendPace::Start(Instant aNow)
{
  *this = BackendPace{};
  this->size = 1;
  this->startedAt = aNow;
  this->decreasedAt = aNow;
}

bool BackendPace::Allows(std::size_t aInUse, std::uint32_t aPriority, Instant aNow) const
{
  if (!this->size) {
    return true;
  }
  const std::size_t allowance = aPriority == 0 ? kTopPriorityAllowance : 0;
  const double limit = aNow < this->pauseEnd ? 0 : std::max(*this->size, 1.0);
  return static_cast<double>(aInUse) < limit + static_cast<double>(allowance);
}

void BackendPace::OnSuccess(Duration aAnswerTime,
                            std::size_t aInUse,
                            std::uint32_t aConnectionLimit,
                            Instant aNow)
{
  if (!this->size) {
    return;
  }
  this->shortestAnswerTime = this->shortestAnswerTime == Duration{ 0 }
                               ? aAnswerTime
                               : std::min(this->shortestAnswerTime, aAnswerTime);
  const Duration slow = std::max(kSlowAnswerTime, this->shortestAnswerTime * kSlowAnswerFactor);
  if (aAnswerTime > slow) {
    const double ratio =
      static_cast<double>(slow.count()) / static_cast<double>(aAnswerTime.count());
    this->Decrease(std::clamp(ratio, kLeastFactor, kMostFactor), aAnswerTime, aInUse, aNow);
    return;
  }
  this->hasGoodAnswer = true;
  if (aAnswerTime <= slow / 2) {
    // Below one, a quick answer doubles the limit. Above, a round trip of answers doubles it until
    // the first decrease, and adds one afterwards.
    *this->size +=
      *this->size < 1 || !this->hasDecreased ? std::min(*this->size, 1.0) : 1 / *this->size;
  }
  if (*this->size > aConnectionLimit) {
    this->Lift();
    return;
  }
  this->Pause(aAnswerTime, aNow);
}

void BackendPace::OnOverload(Duration aAnswerTime, std::size_t aInUse, Instant aNow)
{
  if (this->size) {
    this->Decrease(kMostFactor, aAnswerTime, aInUse, aNow);
  }
}

void BackendPace::CheckTime(Instant aNow)
{
  if (aNow - this->decreasedAt >= kQuietTime || aNow - this->startedAt >= kMaxAge) {
    this->Lift();
  }
}

void BackendPace::Decrease(double aFactor, Duration aAnswerTime, std::size_t aInUse, Instant aNow)
{
  // Statements that were sent before the last decrease show its cause once more.
  if (!this->hasDecreased || aNow - aAnswerTime >= this->decreasedAt) {
    this->hasDecreased = true;
    const double used = std::min(*this->size, std::max(1.0, static_cast<double>(aInUse)));
    this->size = std::max(kMinSize, used * aFactor);
    this->decreasedAt = aNow;
  }
  this->Pause(aAnswerTime, aNow);
}

void BackendPace::Pause(Duration aAnswerTime, Instant aNow)
{
  if (*this->size >= 1) {
    this->pauseEnd = Instant{};
    return;
  }
  const auto pause = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, Duration::period>(aAnswerTime) * (1 / *this->size - 1));
  this->pauseEnd = aNow + std::min(pause, kMaxPause);
}

} // namespace oleanderledge
