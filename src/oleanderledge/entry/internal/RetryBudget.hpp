#pragma once

#include "oleanderledge/base/base.hpp"

#include <array>
#include <cstdint>

namespace oleanderledge {

/// Limits retries to 10 % of the successes of the last 10 s, but at least 10 retries in that time,
/// so that retries cannot multiply the load of an owner that fails.
class RetryBudget
{
public:
  void NoteSuccess(Instant aNow);

  /// Takes one retry out of the budget; false if it is spent.
  bool TryRetry(Instant aNow);

private:
  static constexpr std::size_t kSlots = 10;

  struct Slot
  {
    std::int64_t second = -1;
    std::uint64_t successes = 0;
    std::uint64_t retries = 0;
  };

  Slot& SlotAt(Instant aNow);

  std::array<Slot, kSlots> window;
};

} // namespace oleanderledge
