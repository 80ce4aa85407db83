#include "oleanderledge/statements/WaitForecast.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Length of the windows in which placements are counted. Nothing is forecast in the first one, as
/// few requests are placed while connections are being opened, for example after a power loss.
constexpr Duration kWindowLength = std::chrono::milliseconds(300);
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
  if (!this->isWaiting || !this->previous) {
    return std::nullopt;
  }
  const std::uint32_t placed = this->current.placed + this->previous->placed;
  if (placed == 0) {
    return std::nullopt;
  }
  return (aNow - this->previous->start) / placed;
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
