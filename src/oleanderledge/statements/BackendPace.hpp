#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace oleanderledge {

/// Limits the concurrent statements of this proxy at a backend server that has started or
/// recovered, beside ConcurrencyWindow, which has no limit before the first rejection. Starts at
/// one statement, doubles with quick answers, and shrinks on rejections and slow answers.
///
/// Many proxies share a server, so the limit may fall below one: the proxy then pauses between two
/// statements. Free of I/O; time is an argument.
class BackendPace
{
public:
  /// Statements of priority 0 that may exceed the limit, as others may have used it up.
  static constexpr std::size_t kTopPriorityAllowance = 2;

  /// The server has started or recovered.
  void Start(Instant aNow);
  bool IsActive() const { return this->size.has_value(); }
  /// True if one more statement may be sent while `aInUse` are at the server or have a connection
  /// opened for them. Priority 0 is the most urgent.
  bool Allows(std::size_t aInUse, std::uint32_t aPriority, Instant aNow) const;
  /// `aInUse` includes the answered statement. `aConnectionLimit` is the number of connections that
  /// this proxy may hold. Beyond it the limit has no effect, so it is lifted.
  void OnSuccess(Duration aAnswerTime,
                 std::size_t aInUse,
                 std::uint32_t aConnectionLimit,
                 Instant aNow);
  /// The server rejected a statement for overload. `aInUse` includes it.
  void OnOverload(Duration aAnswerTime, std::size_t aInUse, Instant aNow);
  /// Lifts the limit if the server has shown no sign of overload for some time.
  void CheckTime(Instant aNow);
  /// Lifts the limit.
  void Lift() { this->size.reset(); }
  /// True if the server has given an answer since Start() that was not slow.
  bool HasGoodAnswer() const { return this->hasGoodAnswer; }
  /// The current limit; std::nullopt if there is none.
  std::optional<double> Size() const { return this->size; }
  /// Time since Start().
  Duration Age(Instant aNow) const { return aNow - this->startedAt; }

private:
  void Decrease(double aFactor, Duration aAnswerTime, std::size_t aInUse, Instant aNow);
  /// Starts the pause that stands for a limit below one.
  void Pause(Duration aAnswerTime, Instant aNow);

  std::optional<double> size;
  bool hasGoodAnswer = false;
  bool hasDecreased = false;
  Duration shortestAnswerTime{ 0 }; ///< Since Start(); zero before the first answer.
  Instant startedAt{};
  Instant decreasedAt{};
  Instant pauseEnd{};
};

} // namespace oleanderledge
