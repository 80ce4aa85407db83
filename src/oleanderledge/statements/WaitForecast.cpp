#include "oleanderledge/statements/WaitForecast.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Length of the windows in which placements are counted. In two of them a server with two slots
/// completes about 40 statements.
constexpr Duration kWindowLength = std::chrono::milliseconds(150);
/// Shortest time of observation. Opening a connection between regions takes 40 ms, for which
/// requests wait without any queue.
constexpr Duration kMinObservation = std::chrono::milliseconds(100);
/// Limits of the returned time until a refused request is sent again.
constexpr Duration kMinReturn = std::chrono::milliseconds(100);
constexpr Duration kMaxReturn = std::chrono::milliseconds(2000);

} // namespace

void WaitForecast::SetWaiting(bool aIsWaiting, Instant aNow)
{
  if (aIsWaiting == this->isWaiting) {
    return;
  }
  this->isWaiting = aIsWaiting;
  this->previous.reset();
  this->current = { aNow, 0 };
}

void WaitForecast::OnPlaced(Instant aNow)
{
  if (!this->isWaiting) {
    return;
  }
  this->Advance(aNow);
  ++this->current.placed;
}

void WaitForecast::Advance(Instant aNow)
{
  if (aNow - this->current.start < kWindowLength) {
    return;
  }
  this->previous = this->current;
  this->current = { aNow, 0 };
}

std::optional<Duration> WaitForecast::PlacementInterval(Instant aNow) const
{
  const Instant start = this->previous ? this->previous->start : this->current.start;
  const std::uint32_t placed = this->current.placed + (this->previous ? this->previous->placed : 0);
  const Duration observed = aNow - start;
  if (!this->isWaiting || observed < kMinObservation || placed == 0) {
    return std::nullopt;
  }
  return observed / placed;
}

std::optional<Duration> WaitForecast::ExpectedWait(std::size_t aAhead, Instant aNow) const
{
  const auto interval = this->PlacementInterval(aNow);
  if (!interval) {
    return std::nullopt;
  }
  return *interval * static_cast<std::int64_t>(aAhead + 1);
}

Duration WaitForecast::NextReturn(Duration aExceeding, Instant aNow)
{
  const Duration interval = this->PlacementInterval(aNow).value_or(Duration{ 0 });
  const Instant earliest = aNow + std::max(aExceeding, kMinReturn);
  this->lastReturnAt =
    std::min(std::max(earliest, this->lastReturnAt + interval), aNow + kMaxReturn);
  return this->lastReturnAt - aNow;
}

} // namespace oleanderledge
