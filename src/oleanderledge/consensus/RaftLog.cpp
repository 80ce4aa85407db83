#include "oleanderledge/consensus/RaftLog.hpp"

#include "oleanderledge/consensus/Membership.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

std::vector<ControlMember> SnapshotMembers(const RaftSnapshot& aSnapshot)
{
  auto content = DecodeSnapshotContent(*aSnapshot.content);
  return content ? std::move(content.value().members) : std::vector<ControlMember>{};
}

} // namespace

RaftLog::RaftLog(PersistentState aStored)
  : snapshot(std::move(aStored.snapshot))
{
  this->memberLists.emplace_back();
  if (this->snapshot) {
    this->baseIndex = this->snapshot->lastIndex;
    this->baseTerm = this->snapshot->lastTerm;
    this->memberLists.front() = { this->baseIndex, SnapshotMembers(*this->snapshot) };
  }
  for (LogEntry& entry : aStored.entries) {
    this->Append(std::move(entry));
  }
}

std::uint64_t RaftLog::TermAt(std::uint64_t aIndex) const
{
  if (aIndex == this->baseIndex) {
    return this->baseTerm;
  }
  return aIndex > this->baseIndex && aIndex <= this->LastIndex() ? this->EntryAt(aIndex).term : 0;
}

const LogEntry& RaftLog::EntryAt(std::uint64_t aIndex) const
{
  return this->entries.at(aIndex - this->baseIndex - 1);
}

std::vector<LogEntry> RaftLog::EntriesFrom(std::uint64_t aIndex, std::size_t aMaxBytes) const
{
  std::vector<LogEntry> taken;
  std::size_t bytes = 0;
  for (std::uint64_t index = aIndex; index <= this->LastIndex(); ++index) {
    const LogEntry& entry = this->EntryAt(index);
    bytes += entry.command.size();
    if (!taken.empty() && bytes > aMaxBytes) {
      break;
    }
    taken.push_back(entry);
  }
  return taken;
}

void RaftLog::AddMemberList(std::uint64_t aIndex, std::string_view aEncoded)
{
  auto members = DecodeMembers(aEncoded);
  if (members) {
    this->memberLists.emplace_back(aIndex, std::move(members.value()));
  }
}

void RaftLog::Append(LogEntry aEntry)
{
  if (aEntry.kind == LogEntryKind::Membership) {
    this->AddMemberList(aEntry.index, aEntry.command);
  }
  this->entries.push_back(std::move(aEntry));
}

void RaftLog::TruncateFrom(std::uint64_t aIndex)
{
  while (this->LastIndex() >= aIndex && !this->entries.empty()) {
    this->entries.pop_back();
  }
  while (this->memberLists.size() > 1 && this->memberLists.back().first >= aIndex) {
    this->memberLists.pop_back();
  }
}

void RaftLog::AdvanceBase(std::uint64_t aIndex, std::uint64_t aTerm)
{
  while (!this->entries.empty() && this->entries.front().index <= aIndex) {
    this->entries.pop_front();
  }
  this->baseIndex = aIndex;
  this->baseTerm = aTerm;
  while (this->memberLists.size() > 1 && this->memberLists[1].first <= aIndex) {
    this->memberLists.erase(this->memberLists.begin());
  }
}

void RaftLog::Compact(RaftSnapshot aSnapshot,
                      std::uint64_t aRetainedEntries,
                      std::size_t aRetainedBytes)
{
  std::uint64_t newBase = aSnapshot.lastIndex;
  std::size_t bytes = 0;
  while (newBase > this->baseIndex && aSnapshot.lastIndex - newBase < aRetainedEntries) {
    bytes += this->EntryAt(newBase).command.size();
    if (bytes > aRetainedBytes) {
      break;
    }
    --newBase;
  }
  this->snapshot = std::move(aSnapshot);
  this->AdvanceBase(newBase, this->TermAt(newBase));
}

void RaftLog::InstallSnapshot(RaftSnapshot aSnapshot)
{
  const bool hasLastEntry = aSnapshot.lastIndex >= this->baseIndex &&
                            aSnapshot.lastIndex <= this->LastIndex() &&
                            this->TermAt(aSnapshot.lastIndex) == aSnapshot.lastTerm;
  if (!hasLastEntry) {
    this->entries.clear();
    this->memberLists.clear();
  }
  this->AdvanceBase(aSnapshot.lastIndex, aSnapshot.lastTerm);
  auto members = SnapshotMembers(aSnapshot);
  if (this->memberLists.empty() || this->memberLists.front().first > aSnapshot.lastIndex) {
    this->memberLists.insert(this->memberLists.begin(),
                             { aSnapshot.lastIndex, std::move(members) });
  } else {
    this->memberLists.front() = { aSnapshot.lastIndex, std::move(members) };
  }
  this->snapshot = std::move(aSnapshot);
}

const std::vector<ControlMember>& RaftLog::MembersAt(std::uint64_t aIndex) const
{
  const auto* found = &this->memberLists.front();
  for (const auto& list : this->memberLists) {
    if (list.first <= aIndex) {
      found = &list;
    }
  }
  return found->second;
}

} // namespace oleanderledge
