#include "oleanderledge/entry/internal/RetryBudget.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

constexpr std::uint64_t kMinRetries = 10;
constexpr std::uint64_t kSuccessesPerRetry = 10;

std::int64_t SecondOf(Instant aNow)
{
  return std::chrono::floor<std::chrono::seconds>(aNow.time_since_epoch()).count();
}

} // namespace

RetryBudget::Slot& RetryBudget::SlotAt(Instant aNow)
{
  const std::int64_t second = SecondOf(aNow);
  Slot& slot = this->window[static_cast<std::size_t>(second) % kSlots];
  if (slot.second != second) {
    slot = Slot{ second };
  }
  return slot;
}

void RetryBudget::NoteSuccess(Instant aNow)
{
  ++this->SlotAt(aNow).successes;
}

bool RetryBudget::TryRetry(Instant aNow)
{
  Slot& present = this->SlotAt(aNow);
  const std::int64_t oldest = SecondOf(aNow) - static_cast<std::int64_t>(kSlots);
  std::uint64_t successes = 0;
  std::uint64_t retries = 0;
  for (const Slot& slot : this->window) {
    if (slot.second <= oldest) {
      continue;
    }
    successes += slot.successes;
    retries += slot.retries;
  }
  if (retries >= std::max(kMinRetries, successes / kSuccessesPerRetry)) {
    return false;
  }
  ++present.retries;
  return true;
}

} // namespace oleanderledge
