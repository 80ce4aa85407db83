#pragma once

#include "oleanderledge/base/base.hpp"

#include <algorithm>

namespace oleanderledge {

/// A pause that doubles each time it is asked for again after it has ended, until it is reset.
/// Pure.
class GrowingPause
{
public:
  bool IsActive(Instant aNow) const { return aNow < this->until; }

  /// Events during the pause belong to the one that began it.
  void Extend(Instant aNow, Duration aFirst, Duration aLongest)
  {
    if (this->IsActive(aNow)) {
      return;
    }
    this->length = std::clamp(this->length * 2, aFirst, aLongest);
    this->until = aNow + this->length;
  }

  void Reset() { this->length = Duration{ 0 }; }

private:
  Instant until{};
  Duration length{ 0 };
};

} // namespace oleanderledge
