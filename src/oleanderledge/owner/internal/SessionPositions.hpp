#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace oleanderledge {

/// Position that a replica must have applied before it may serve a read of a session.
///
/// Sessions without an entry use the base position, which is never older than any write that this
/// table has forgotten.
class SessionPositions
{
public:
  /// Forgets everything: a previous owner may have acknowledged writes that are not known here.
  void Clear();

  /// Sets the base position of a term; entries of older terms count as the base position from now.
  void SetBase(LogPosition aPosition);

  /// Remembers the last write of a session.
  void NoteWrite(const std::string& aSession, LogPosition aPosition);

  /// Drops entries that every replica has applied.
  void ForgetUpTo(LogPosition aAppliedEverywhere);

  /// Position required for reads of the session; nothing while the base position is unknown.
  std::optional<LogPosition> RequiredFor(const std::string& aSession) const;

  const std::optional<LogPosition>& Base() const { return this->base; }
  std::size_t Size() const { return this->positions.size(); }

private:
  std::optional<LogPosition> base;
  std::unordered_map<std::string, LogPosition> positions;
};

/// Above this number of sessions all entries are merged into the base position. Reads then go to
/// replicas that have applied the newest of them, which is safe.
constexpr std::size_t kMaxSessions = 100'000;

} // namespace oleanderledge
