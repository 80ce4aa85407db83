#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace oleanderledge {

/// Limits the concurrent statements of this proxy at one backend server, by additive increase and
/// multiplicative decrease. Unlimited until the server rejects a statement for overload. Decreases
/// on such rejections, and when answers take much longer than before them, which keeps the server's
/// queue short.
///
/// At an overloaded server statements thus wait in the queue of the proxy, which is ordered by
/// priority, and not in the queue of the server, which is not. Free of I/O; time is an argument.
class ConcurrencyWindow
{
public:
  /// Statements of priority 0 that may exceed the limit, as others may have used it up.
  static constexpr std::size_t kTopPriorityAllowance = 2;

  /// True if one more statement may be sent while `aInUse` are at the server. Priority 0 is the
  /// most urgent.
  bool Allows(std::size_t aInUse, std::uint32_t aPriority) const;
  void OnSuccess(Duration aAnswerTime, Instant aNow);
  /// The server rejected a statement for overload. `aInUse` includes the rejected one.
  void OnOverload(std::size_t aInUse, Instant aNow);
  /// The current limit; std::nullopt if there is none.
  std::optional<double> Size() const { return this->size; }

private:
  void Decrease(double aFrom, Instant aNow);

  std::optional<double> size;
  Duration averageAnswerTime{ 0 };
  Duration baselineAnswerTime{ 0 }; ///< Average while there was no limit.
  Instant decreasedAt{};
};

} // namespace oleanderledge
