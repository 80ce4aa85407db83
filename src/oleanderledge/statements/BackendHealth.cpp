#include "oleanderledge/statements/BackendHealth.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Initial and longest delay between attempts on a failing server. The longest is below the 2 s
/// that a caller waits for a connection, so that a recovered server is used again in time.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(800);
/// Initial and longest time for which reads prefer other servers after a rejection for overload. In
/// the longest one a queue of about 20 statements drains.
constexpr Duration kInitialOverloadBackoff = std::chrono::milliseconds(20);
constexpr Duration kMaxOverloadBackoff = std::chrono::milliseconds(320);
/// Initial and longest time for which reads avoid a server whose log lacked a required position.
/// The longest is about half of the shortest accepted age in deployments, 1,500 ms.
constexpr Duration kInitialLagBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxLagBackoff = std::chrono::milliseconds(800);
/// A new answer has the weight 1 / kAverageWeightDivisor in the moving average.
constexpr int kAverageWeightDivisor = 16;

} // namespace

void BackendHealth::OnReachable(Instant aNow)
{
  this->failingSince.reset();
  this->retryDelay = Duration{ 0 };
  this->lastAnswer = aNow;
}

void BackendHealth::OnAnswer(Duration aAnswerTime, Instant aNow)
{
  this->OnReachable(aNow);
  this->overloadBackoff.Reset();
  this->averageAnswerTime =
    this->averageAnswerTime == Duration{ 0 }
      ? aAnswerTime
      : this->averageAnswerTime + (aAnswerTime - this->averageAnswerTime) / kAverageWeightDivisor;
}

void BackendHealth::OnOverload(Instant aNow)
{
  this->OnReachable(aNow);
  this->overloadBackoff.Start(aNow, kInitialOverloadBackoff, kMaxOverloadBackoff);
}

void BackendHealth::OnPosition(const LogPosition& aPosition)
{
  if (!this->reached || *this->reached < aPosition) {
    this->reached = aPosition;
  }
  if (this->lacking <= aPosition) {
    this->lagBackoff.Reset();
  }
}

void BackendHealth::OnLag(const LogPosition& aRequired, Instant aNow)
{
  this->OnReachable(aNow);
  this->lacking = this->lagBackoff.IsActive(aNow) ? std::min(this->lacking, aRequired) : aRequired;
  this->lagBackoff.Start(aNow, kInitialLagBackoff, kMaxLagBackoff);
  if (this->reached && aRequired <= *this->reached) {
    // The log was rolled back, as another server was promoted.
    this->reached.reset();
  }
}

bool BackendHealth::IsLaggingFor(const LogPosition& aRequired, Instant aNow) const
{
  const bool isKnown = this->reached && aRequired <= *this->reached;
  return !isKnown && this->lagBackoff.IsActive(aNow) && this->lacking <= aRequired;
}

void BackendHealth::OnFailure(Instant aNow)
{
  if (!this->failingSince) {
    this->failingSince = aNow;
  }
  // Connections that fail during the backoff belong to the same failure.
  if (aNow < this->retryAt) {
    return;
  }
  this->retryDelay = std::clamp(this->retryDelay * 2, kInitialBackoff, kMaxBackoff);
  this->retryAt = aNow + this->retryDelay;
}

void BackendHealth::OnNoResponse(Instant aSince, Instant aNow)
{
  this->OnFailure(aNow);
  this->failingSince = std::min(*this->failingSince, aSince);
}

bool BackendHealth::AllowsAttempt(Instant aNow) const
{
  return !this->failingSince || aNow >= this->retryAt;
}

Duration BackendHealth::FailureDuration(Instant aNow) const
{
  return this->failingSince ? aNow - *this->failingSince : Duration{ 0 };
}

} // namespace oleanderledge
