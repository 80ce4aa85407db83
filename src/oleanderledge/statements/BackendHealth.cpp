#include "oleanderledge/statements/BackendHealth.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// First pause after a failure, and the longest one. The longest is below the 2 s for which a
/// caller waits for a connection, so a server that returns is used again soon.
constexpr Duration kFirstPause = std::chrono::milliseconds(100);
constexpr Duration kLongestPause = std::chrono::milliseconds(800);
/// First and longest pause for reads after a refusal for overload. The longest lets a queue of some
/// twenty statements drain.
constexpr Duration kFirstOverloadPause = std::chrono::milliseconds(20);
constexpr Duration kLongestOverloadPause = std::chrono::milliseconds(320);
/// First and longest pause for reads after the server lacked a position. The longest is half of the
/// shortest accepted age on the platform's deployments, 1,500 ms.
constexpr Duration kFirstLagPause = std::chrono::milliseconds(100);
constexpr Duration kLongestLagPause = std::chrono::milliseconds(800);
/// Weight of a new answer in the moving average, 1 in so many.
constexpr int kAverageOver = 16;

} // namespace

void BackendHealth::OnReachable(Instant aNow)
{
  this->failingSince.reset();
  this->pause = Duration{ 0 };
  this->lastAnswer = aNow;
}

void BackendHealth::OnAnswer(Duration aTook, Instant aNow)
{
  this->OnReachable(aNow);
  this->overload.Reset();
  this->answerTime = this->answerTime == Duration{ 0 }
                       ? aTook
                       : this->answerTime + (aTook - this->answerTime) / kAverageOver;
}

void BackendHealth::OnOverload(Instant aNow)
{
  this->OnReachable(aNow);
  this->overload.Extend(aNow, kFirstOverloadPause, kLongestOverloadPause);
}

void BackendHealth::OnLag(Instant aNow)
{
  this->OnReachable(aNow);
  this->lag.Extend(aNow, kFirstLagPause, kLongestLagPause);
}

void BackendHealth::OnFailure(Instant aNow)
{
  if (!this->failingSince) {
    this->failingSince = aNow;
  }
  // Several connections that fail at once are one failure.
  if (aNow < this->retryAt) {
    return;
  }
  this->pause = std::clamp(this->pause * 2, kFirstPause, kLongestPause);
  this->retryAt = aNow + this->pause;
}

void BackendHealth::OnSilence(Instant aSince, Instant aNow)
{
  this->OnFailure(aNow);
  this->failingSince = std::min(*this->failingSince, aSince);
}

bool BackendHealth::MayTry(Instant aNow) const
{
  return !this->failingSince || aNow >= this->retryAt;
}

Duration BackendHealth::FailingFor(Instant aNow) const
{
  return this->failingSince ? aNow - *this->failingSince : Duration{ 0 };
}

} // namespace oleanderledge
