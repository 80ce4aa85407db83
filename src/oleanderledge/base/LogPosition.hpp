#pragma once

#include <compare>
#include <cstdint>

namespace oleanderledge {

/// A position in the log of a database group. Positions of different terms belong to different
/// lineages: the ordering by term first only says which is the later lineage.
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
