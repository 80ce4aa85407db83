#pragma once

#include "oleanderledge/base/base.hpp"

namespace oleanderledge {

/// Token bucket whose rate and capacity may change.
class TokenBucketLevel
{
public:
  TokenBucketLevel(double aPerSecond, double aCapacity, double aTokens, Instant aNow);

  /// Adds what the present rate yields up to `aNow`, then sets rate and capacity. A level above the
  /// new capacity is reduced to it.
  void Refill(double aPerSecond, double aCapacity, Instant aNow);

  double Tokens() const { return this->tokens; }
  void Take(double aTokens) { this->tokens -= aTokens; }
  /// Gives tokens back, up to the capacity.
  void Return(double aTokens);
  /// Time until the level reaches `aTokens`; at most an hour.
  Duration TimeUntil(double aTokens) const;

private:
  double perSecond;
  double capacity;
  double tokens;
  Instant refilledAt;
};

} // namespace oleanderledge
