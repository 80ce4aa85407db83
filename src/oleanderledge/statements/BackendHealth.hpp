#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/statements/ExponentialBackoff.hpp"

#include <optional>

namespace oleanderledge {

/// Health of one backend server as observed by this proxy. Free of I/O; time is an argument.
class BackendHealth
{
public:
  /// A statement was answered after `aAnswerTime`, with a result or an error of its execution.
  void OnAnswer(Duration aAnswerTime, Instant aNow);
  /// The server answered with a position that its log contains.
  void OnPosition(const LogPosition& aPosition);
  /// The server rejected a statement because of overload, without executing it.
  void OnOverload(Instant aNow);
  /// The server's log did not contain the position that a read required.
  void OnLag(const LogPosition& aRequired, Instant aNow);
  /// The server responded, for example by opening a connection; leaves the average answer time
  /// unchanged.
  void OnReachable(Instant aNow);
  /// A connection could not be opened, was lost or timed out.
  void OnFailure(Instant aNow);
  /// The server has answered no request since `aSince`, although requests are pending.
  void OnNoResponse(Instant aSince, Instant aNow);

  /// False during the backoff after a failure, which limits the attempts on a dead server.
  bool AllowsAttempt(Instant aNow) const;
  bool IsFailing() const { return this->failingSince.has_value(); }
  /// Time since the first failure after the last response; zero if the server is not failing.
  Duration FailureDuration(Instant aNow) const;
  /// True during the backoff after OnOverload(). The backoff grows until OnAnswer().
  bool IsOverloaded(Instant aNow) const { return this->overloadBackoff.IsActive(aNow); }
  /// True if a read that requires the position would probably be rejected: during the backoff after
  /// OnLag(), for the position that was lacking and later ones. The backoff grows until the server
  /// has that position.
  bool IsLaggingFor(const LogPosition& aRequired, Instant aNow) const;
  /// True during the backoff after OnLag(), whatever position a read requires.
  bool IsLagging(Instant aNow) const { return this->lagBackoff.IsActive(aNow); }
  std::optional<Instant> LastAnswer() const { return this->lastAnswer; }
  /// Moving average of the time from request to answer; zero before the first answer.
  Duration AverageAnswerTime() const { return this->averageAnswerTime; }

private:
  std::optional<Instant> failingSince;
  std::optional<Instant> lastAnswer;
  Instant retryAt{};
  Duration retryDelay{ 0 };
  Duration averageAnswerTime{ 0 };
  ExponentialBackoff overloadBackoff;
  ExponentialBackoff lagBackoff;
  LogPosition lacking;                ///< Lowest position that was lacking in the last backoff.
  std::optional<LogPosition> reached; ///< Newest position that the log is known to contain.
};

} // namespace oleanderledge
