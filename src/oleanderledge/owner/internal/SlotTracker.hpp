#pragma once

#include "oleanderledge/owner/internal/OwnerTypes.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge {

/// What the owner knows of one slot.
struct SlotState
{
  SlotRow row;
  bool answered = false;
  bool reachable = false; ///< The last question was answered.
  bool isPrimary = false;
  LogPosition received;
  LogPosition applied;
  Instant lastAnswer; ///< Or when tracking began.
  Instant lastQueriedAt;
  Instant departingSince; ///< Valid if the row says that the slot departs.
  Instant lastProgress;   ///< When `received` last advanced.
};

/// Positions of the slots of one database and the age of their data.
class SlotTracker
{
public:
  /// Takes over the slots of the row; state of slots that remain is kept.
  void ApplyRow(const DatabaseRow& aRow, Instant aNow);
  void NoteStatus(const SlotStatus& aStatus, Instant aNow);
  void NoteUnreachable(std::string_view aSlot);

  /// Remembers that the primary's log ended at or after `aPosition` at `aTime`.
  void AddSample(Instant aTime, LogPosition aPosition);
  /// Every acknowledged write is at or before this position.
  void NoteAcknowledged(LogPosition aPosition);
  const std::optional<LogPosition>& NewestAcknowledged() const { return this->acknowledged; }
  /// Forgets what was acknowledged, for a new ownership.
  void ClearPositionHistory();

  const SlotState* Find(std::string_view aSlot) const;
  const std::map<std::string, SlotState, std::less<>>& Slots() const { return this->slots; }

  /// True if the slot answered within the silence limit.
  bool IsAlive(std::string_view aSlot, Instant aNow) const;

  /// Age of the replica's data against acknowledged writes; nothing if unknown.
  std::optional<Duration> AgeOf(std::string_view aSlot, Instant aNow) const;

  /// Smallest applied offset of the live replicas of the term; nothing if there is none.
  std::optional<std::uint64_t> SmallestApplied(std::uint64_t aTerm,
                                               std::string_view aPrimary,
                                               Instant aNow) const;

private:
  struct Sample
  {
    Instant time;
    LogPosition position;
  };

  void DownsampleOlderHalf();

  std::map<std::string, SlotState, std::less<>> slots;
  std::deque<Sample> samples; ///< Times and positions ascend.
  std::optional<LogPosition> acknowledged;
};

/// A slot that has not answered for this time gets no work. Detection of a failed primary uses the
/// same limit (design section 3.4).
constexpr Duration kSlotSilenceLimit{ 600'000 };

} // namespace oleanderledge
