#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace oleanderledge {

/// Forecasts how long a request waits for a connection, from the rate at which waiting requests
/// were given one. Free of I/O; time is an argument.
///
/// The load that it answers is a class that asks for several times of what the servers of its
/// service can do. Its requests are then refused when they arrive instead of at the end of their
/// wait, with the time at which the queue will have room.
class WaitForecast
{
public:
  /// Sets whether requests wait. The rate is measured only meanwhile: without a queue it is that of
  /// the arrivals.
  void SetWaiting(bool aIsWaiting, Instant aNow);
  /// A request was given a connection.
  void OnPlaced(Instant aNow);

  /// Expected wait of a request behind `aAhead` others; nothing while too little is known.
  std::optional<Duration> ExpectedWait(std::size_t aAhead, Instant aNow) const;
  /// When to send a refused request again, which had been expected to wait for `aExceeding` too
  /// long. Refused callers return one after the other, at the rate at which requests are served.
  Duration NextReturn(Duration aExceeding, Instant aNow);

private:
  struct Window
  {
    Instant start{};
    std::uint32_t placed = 0;
  };

  /// Starts a new window if the present one is over.
  void Advance(Instant aNow);
  /// Mean time between placements in the last two windows; nothing while too little is known.
  std::optional<Duration> PlacementInterval(Instant aNow) const;

  bool isWaiting = false;
  Window current;
  std::optional<Window> previous;
  Instant lastReturnAt{};
};

} // namespace oleanderledge
