#pragma once

#include "oleanderledge/owner/internal/OwnerTypes.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Last known state of one slot.
struct SlotState
{
  SlotRow row;
  bool answered = false;  ///< At least one status was received.
  bool reachable = false; ///< A status was received after the last connection loss.
  bool isPrimary = false;
  LogPosition received;
  LogPosition applied;
  Instant lastAnswer;    ///< When the last status was received, or when tracking began.
  Instant lastQueriedAt; ///< When the query of the last status was sent.
  /// When the slot was seen to depart; nothing if it departed before it was tracked.
  std::optional<Instant> departingSince;
  Instant lastProgress; ///< When `received` last advanced.
};

/// Tracks the positions of the slots of one database and the age of their data.
class SlotTracker
{
public:
  /// Applies the slots of the row. Slots that keep their name and address keep their state.
  void ApplyRow(const DatabaseRow& aRow, Instant aNow);
  void NoteStatus(const SlotStatus& aStatus, Instant aNow);
  void NoteUnreachable(std::string_view aSlot);

  /// Records that the primary's log ended at or before `aPosition` at `aTime`: a replica that has
  /// applied `aPosition` has all data of that time.
  void AddSample(Instant aTime, LogPosition aPosition);
  /// Records that writes up to this position were acknowledged.
  void NoteAcknowledged(LogPosition aPosition);
  /// Every acknowledged write is at or before this position; nothing if none is known.
  const std::optional<LogPosition>& NewestAcknowledged() const { return this->acknowledged; }
  /// Discards the acknowledged position and the samples, for a new ownership.
  void ClearPositionHistory();

  /// The state of the slot, or null.
  const SlotState* Find(std::string_view aSlot) const;
  const std::map<std::string, SlotState, std::less<>>& Slots() const { return this->slots; }

  /// True if the slot answered within kSlotSilenceLimit.
  bool IsAlive(std::string_view aSlot, Instant aNow) const;

  /// Upper bound on the age of the replica's data: 0 if it has applied all acknowledged writes,
  /// nothing if the age is unknown.
  std::optional<Duration> AgeOf(std::string_view aSlot, Instant aNow) const;

  /// Smallest applied offset of the live replicas; nothing if there is none, or if one of them has
  /// another term.
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
  std::deque<Sample> samples; ///< In ascending order of time and position.
  std::optional<LogPosition> acknowledged;
};

/// A slot that has not answered for this time receives no work. Control uses the same limit to
/// detect a failed primary.
constexpr Duration kSlotSilenceLimit{ 600'000 };

} // namespace oleanderledge
