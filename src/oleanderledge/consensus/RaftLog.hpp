#pragma once

#include "oleanderledge/consensus/PersistentState.hpp"
#include "oleanderledge/consensus/ReplicatedLog.hpp"

#include <cstdint>
#include <deque>
#include <span>
#include <utility>
#include <vector>

namespace oleanderledge {

/// The log of one member in memory: the entries after a base index, the newest snapshot, and the
/// lists of members that they contain.
///
/// The base index may be lower than the last index of the snapshot, so that a member that lags
/// slightly receives entries instead of a whole snapshot.
class RaftLog
{
public:
  explicit RaftLog(PersistentState aStored);

  /// The index before the first entry in memory; entries up to it are not available.
  std::uint64_t BaseIndex() const { return this->baseIndex; }
  std::uint64_t LastIndex() const { return this->baseIndex + this->entries.size(); }
  std::uint64_t LastTerm() const { return this->TermAt(this->LastIndex()); }
  /// Term of the entry at an index from BaseIndex() to LastIndex(); 0 for other indexes.
  std::uint64_t TermAt(std::uint64_t aIndex) const;
  /// Requires BaseIndex() < aIndex <= LastIndex().
  const LogEntry& EntryAt(std::uint64_t aIndex) const;
  /// The entries from `aIndex` on whose commands fit into `aMaxBytes`, but at least one if there is
  /// any.
  std::vector<LogEntry> EntriesFrom(std::uint64_t aIndex, std::size_t aMaxBytes) const;

  /// Appends an entry. Its index must be LastIndex() + 1.
  void Append(LogEntry aEntry);
  /// Removes the entries from `aIndex` on.
  void TruncateFrom(std::uint64_t aIndex);
  /// Stores a snapshot of applied entries and discards the entries that it covers, except for the
  /// last `aRetainedEntries` as far as their commands fit into `aRetainedBytes`.
  void Compact(RaftSnapshot aSnapshot, std::uint64_t aRetainedEntries, std::size_t aRetainedBytes);
  /// Replaces the log by a snapshot from the leader. Keeps the entries after it if the log contains
  /// the last entry of the snapshot.
  void InstallSnapshot(RaftSnapshot aSnapshot);

  const std::optional<RaftSnapshot>& Snapshot() const { return this->snapshot; }
  /// The latest list of members, committed or not; empty before the group is founded.
  const std::vector<ControlMember>& Members() const { return this->memberLists.back().second; }
  /// Index of the entry or snapshot that contains the latest list of members.
  std::uint64_t MembersIndex() const { return this->memberLists.back().first; }
  /// The list of members that applies at `aIndex`.
  const std::vector<ControlMember>& MembersAt(std::uint64_t aIndex) const;

private:
  void AddMemberList(std::uint64_t aIndex, std::string_view aEncoded);
  /// Discards the entries up to `aIndex`.
  void AdvanceBase(std::uint64_t aIndex, std::uint64_t aTerm);

  std::uint64_t baseIndex = 0;
  std::uint64_t baseTerm = 0;
  std::deque<LogEntry> entries;
  std::optional<RaftSnapshot> snapshot;
  /// Pairs of index and list, by ascending index. The first one applies at the base index.
  std::vector<std::pair<std::uint64_t, std::vector<ControlMember>>> memberLists;
};

} // namespace oleanderledge
