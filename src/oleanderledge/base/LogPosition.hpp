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

  bool operator==(const LogPosition&) const = default;
  // Not defaulted: clang-tidy takes the comparison with 0 in the generated code for a null pointer.
  std::strong_ordering operator<=>(const LogPosition& aOther) const
  {
    const auto byTerm = this->term <=> aOther.term;
    return std::is_neq(byTerm) ? byTerm : this->offset <=> aOther.offset;
  }

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->term, this->offset);
  }
};

} // namespace oleanderledge
