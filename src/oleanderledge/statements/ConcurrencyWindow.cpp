#include "oleanderledge/statements/ConcurrencyWindow.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

constexpr double kDecreaseFactor = 0.7;
/// Rejections within this time count once, as they have one cause: a queue of about 30
/// statements of 15 ms each takes that long in 4 slots.
constexpr Duration kMinDecreaseInterval = std::chrono::milliseconds(120);
constexpr double kMinSize = 1;
/// The limit is lifted beyond this size, and starts below it: no backend server in deployments
/// accepts that many connections from one proxy.
constexpr double kUnboundedAbove = 64;
/// A new answer has the weight 1 / kAverageWeightDivisor in the moving average.
constexpr int kAverageWeightDivisor = 16;
/// Answer times above this multiple of the baseline indicate a long queue at the server.
constexpr int kSlowAnswerFactor = 2;

} // namespace

bool ConcurrencyWindow::Allows(std::size_t aInUse, std::uint32_t aPriority) const
{
  const std::size_t allowance = aPriority == 0 ? kTopPriorityAllowance : 0;
  return !this->size || static_cast<double>(aInUse) < *this->size + static_cast<double>(allowance);
}

void ConcurrencyWindow::OnSuccess(Duration aAnswerTime, Instant aNow)
{
  this->averageAnswerTime =
    this->averageAnswerTime == Duration{ 0 }
      ? aAnswerTime
      : this->averageAnswerTime + (aAnswerTime - this->averageAnswerTime) / kAverageWeightDivisor;
  if (!this->size) {
    this->baselineAnswerTime = this->averageAnswerTime;
    return;
  }
  const bool hasBaseline = this->baselineAnswerTime != Duration{ 0 };
  if (hasBaseline && this->averageAnswerTime > this->baselineAnswerTime * kSlowAnswerFactor) {
    this->Decrease(*this->size, aNow);
    return;
  }
  *this->size += 1 / *this->size;
  if (*this->size > kUnboundedAbove) {
    this->size.reset();
  }
}

void ConcurrencyWindow::OnOverload(std::size_t aInUse, Instant aNow)
{
  this->Decrease(std::min(this->size.value_or(kUnboundedAbove), static_cast<double>(aInUse)), aNow);
}

void ConcurrencyWindow::Decrease(double aFrom, Instant aNow)
{
  if (this->size && aNow - this->decreasedAt < kMinDecreaseInterval) {
    return;
  }
  this->decreasedAt = aNow;
  this->size = std::max(kMinSize, aFrom * kDecreaseFactor);
}

} // namespace oleanderledge
