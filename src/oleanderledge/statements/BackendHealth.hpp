#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/statements/GrowingPause.hpp"

#include <optional>

namespace oleanderledge {

/// What a proxy knows of one backend server from its own work. Pure.
class BackendHealth
{
public:
  /// A statement or start-up was answered after `aTook`.
  void OnAnswer(Duration aTook, Instant aNow);
  /// A read that needed a position succeeded.
  void OnPositionMet() { this->lag.Reset(); }
  /// A statement was refused without being run, because the server has too much to do.
  void OnOverload(Instant aNow);
  /// The server lacked a position that a read needed.
  void OnLag(Instant aNow);
  /// A connection was opened, which says nothing of the time of answers.
  void OnReachable(Instant aNow);
  /// A connection could not be opened, was lost or fell silent.
  void OnFailure(Instant aNow);
  /// Requests sent at `aSince` or later have not been answered, nor has any other since.
  void OnSilence(Instant aSince, Instant aNow);

  /// False for a pause after a failure, so that a dead server costs few attempts.
  bool MayTry(Instant aNow) const;
  bool IsFailing() const { return this->failingSince.has_value(); }
  /// Time since the first failure after the last answer.
  Duration FailingFor(Instant aNow) const;
  /// True for a growing pause after each refusal for overload, until the server runs a statement.
  bool IsOverloaded(Instant aNow) const { return this->overload.IsActive(aNow); }
  /// True for a growing pause after each such answer, until a read with a position succeeds.
  bool IsLagging(Instant aNow) const { return this->lag.IsActive(aNow); }
  std::optional<Instant> LastAnswer() const { return this->lastAnswer; }
  /// Moving average of the time of an answer.
  Duration AnswerTime() const { return this->answerTime; }

private:
  std::optional<Instant> failingSince;
  std::optional<Instant> lastAnswer;
  Instant retryAt{};
  Duration pause{ 0 };
  Duration answerTime{ 0 };
  GrowingPause overload;
  GrowingPause lag;
};

} // namespace oleanderledge
