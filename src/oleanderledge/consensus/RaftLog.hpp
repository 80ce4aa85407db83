#pragma once

#include "oleanderledge/consensus/PersistentState.hpp"
#include "oleanderledge/consensus/ReplicatedLog.hpp"

#include <cstdint>
#include <deque>
#include <span>
#include <utility>
#include <vector>

namespace oleanderledge {

/// The log of one member in memory: entries after a base index, the newest snapshot and the member
/// lists that the entries contain.
///
/// The base may be lower than the snapshot, so that members slightly behind get entries instead of
/// a whole snapshot.
class RaftLog
{
public:
  explicit RaftLog(PersistentState aStored);

  std::uint64_t BaseIndex() const { return this->baseIndex; }
  std::uint64_t LastIndex() const { return this->baseIndex + this->entries.size(); }
  std::uint64_t LastTerm() const { return this->TermAt(this->LastIndex()); }
  /// Term of an entry from the base to the last index; 0 for others.
  std::uint64_t TermAt(std::uint64_t aIndex) const;
  /// Requires BaseIndex() < aIndex <= LastIndex().
  const LogEntry& EntryAt(std::uint64_t aIndex) const;
  /// Entries from an index on, up to a number of bytes but at least one.
  std::vector<LogEntry> EntriesFrom(std::uint64_t aIndex, std::size_t aMaxBytes) const;

  /// Appends an entry with the next index.
  void Append(LogEntry aEntry);
  /// Removes the entries from an index on.
  void TruncateFrom(std::uint64_t aIndex);
  /// Records a snapshot of applied entries and drops those that are `aRetainedEntries` or more
  /// older.
  void Compact(RaftSnapshot aSnapshot, std::uint64_t aRetainedEntries);
  /// Replaces the log by a snapshot from the leader. Keeps later entries if the log has the
  /// snapshot's last entry.
  void InstallSnapshot(RaftSnapshot aSnapshot);

  const std::optional<RaftSnapshot>& Snapshot() const { return this->snapshot; }
  /// The newest list of members, committed or not; empty before a group is formed.
  const std::vector<ControlMember>& Members() const { return this->memberLists.back().second; }
  /// Index of the entry or snapshot that the newest list comes from.
  std::uint64_t MembersIndex() const { return this->memberLists.back().first; }
  /// The list in force as of an index.
  const std::vector<ControlMember>& MembersAt(std::uint64_t aIndex) const;

private:
  void AddMemberList(std::uint64_t aIndex, std::string_view aEncoded);
  void AdvanceBase(std::uint64_t aIndex, std::uint64_t aTerm);

  std::uint64_t baseIndex = 0;
  std::uint64_t baseTerm = 0;
  std::deque<LogEntry> entries;
  std::optional<RaftSnapshot> snapshot;
  /// Index and list, ascending. The first one belongs to the base or precedes it.
  std::vector<std::pair<std::uint64_t, std::vector<ControlMember>>> memberLists;
};

} // namespace oleanderledge
