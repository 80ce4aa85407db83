#include "oleanderledge/statements/ConcurrencyWindow.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

constexpr double kDecrease = 0.7;
/// Excess within this time has one cause: a queue of some thirty statements of 15 ms in four slots.
constexpr Duration kDecreaseInterval = std::chrono::milliseconds(120);
constexpr double kLeastSize = 1;
/// No server of the platform's deployments accepts as many connections from one proxy.
constexpr double kUnboundedSize = 64;
/// Weight of a new time in the moving average, 1 in so many.
constexpr int kAverageOver = 16;
/// Answers that take this many times as long as in calm times show a long queue at the server.
constexpr int kSlowFactor = 2;

} // namespace

bool ConcurrencyWindow::Allows(std::size_t aInUse, std::uint32_t aPriority) const
{
  const std::size_t extra = aPriority == 0 ? kUrgentExtra : 0;
  return !this->size || static_cast<double>(aInUse) < *this->size + static_cast<double>(extra);
}

void ConcurrencyWindow::OnSuccess(Duration aTook, Instant aNow)
{
  this->averageTime = this->averageTime == Duration{ 0 }
                        ? aTook
                        : this->averageTime + (aTook - this->averageTime) / kAverageOver;
  if (!this->size) {
    this->calmTime = this->averageTime;
    return;
  }
  const bool isCalmKnown = this->calmTime != Duration{ 0 };
  if (isCalmKnown && this->averageTime > this->calmTime * kSlowFactor) {
    this->Decrease(*this->size, aNow);
    return;
  }
  *this->size += 1 / *this->size;
  if (*this->size > kUnboundedSize) {
    this->size.reset();
  }
}

void ConcurrencyWindow::OnOverload(std::size_t aInUse, Instant aNow)
{
  this->Decrease(std::min(this->size.value_or(kUnboundedSize), static_cast<double>(aInUse)), aNow);
}

void ConcurrencyWindow::Decrease(double aFrom, Instant aNow)
{
  if (this->size && aNow - this->decreasedAt < kDecreaseInterval) {
    return;
  }
  this->decreasedAt = aNow;
  this->size = std::max(kLeastSize, aFrom * kDecrease);
}

} // namespace oleanderledge
