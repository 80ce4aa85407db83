#pragma once

#include <compare>
#include <cstdint>

namespace oleanderledge {

/// A position in the replication log of a primary and its replicas. Logs of different terms may
/// have diverged: positions compare by term first, which only tells which log is the later one, and
/// offsets are comparable within one term alone.
struct LogPosition
{
  std::uint64_t term = 0;
  std::uint64_t offset = 0;

  // clang-tidy 14 reports the comparison with zero that the compiler generates.
  auto operator<=>(const LogPosition&) const = default; // NOLINT(modernize-use-nullptr)

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->term, this->offset);
  }
};

} // namespace oleanderledge
