#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace oleanderledge {

/// Bounds the statements that this proxy has at a backend server at the same time. Without a bound
/// until the server refuses for its load; then additive increase, multiplicative decrease, also
/// when answers take much longer than before the refusals, so that the server's queue stays short.
///
/// Answers the load of a server that is offered more than it can run: what waits does so in this
/// proxy's queue, which serves the most urgent first, and not in the server's, which does not.
/// Pure.
class ConcurrencyWindow
{
public:
  static constexpr std::size_t kUrgentExtra = 2;

  /// True if one more statement may be sent while `aInUse` are at the server. The most urgent class
  /// (priority 0) may exceed the bound by kUrgentExtra, as others may have filled it.
  bool Allows(std::size_t aInUse, std::uint32_t aPriority) const;
  void OnSuccess(Duration aTook, Instant aNow);
  /// The server refused while so many were in use, the refused one included.
  void OnOverload(std::size_t aInUse, Instant aNow);
  /// The present bound, or nothing.
  std::optional<double> Size() const { return this->size; }

private:
  void Decrease(double aFrom, Instant aNow);

  std::optional<double> size;
  Duration averageTime{ 0 };
  Duration calmTime{ 0 }; ///< The average before the server refused.
  Instant decreasedAt{};
};

} // namespace oleanderledge
