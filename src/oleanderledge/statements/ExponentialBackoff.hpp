#pragma once

#include "oleanderledge/base/base.hpp"

#include <algorithm>

namespace oleanderledge {

/// Backoff whose duration doubles each time it is started, until it is reset. Free of I/O; time is
/// an argument.
class ExponentialBackoff
{
public:
  bool IsActive(Instant aNow) const { return aNow < this->until; }

  /// Starts the next backoff, at least `aInitial` and at most `aMax` long. No effect while one is
  /// active: events during a backoff belong to the event that started it.
  void Start(Instant aNow, Duration aInitial, Duration aMax)
  {
    if (this->IsActive(aNow)) {
      return;
    }
    this->length = std::clamp(this->length * 2, aInitial, aMax);
    this->until = aNow + this->length;
  }

  /// Makes the next backoff `aInitial` long. An active one still runs to its end.
  void Reset() { this->length = Duration{ 0 }; }

private:
  Instant until{};
  Duration length{ 0 };
};

} // namespace oleanderledge
