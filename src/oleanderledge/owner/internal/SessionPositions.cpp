#include "oleanderledge/owner/internal/SessionPositions.hpp"

#include <algorithm>

namespace oleanderledge {

void SessionPositions::Clear()
{
  this->base.reset();
  this->positions.clear();
}

void SessionPositions::SetBase(LogPosition aPosition)
{
  if (this->base && *this->base >= aPosition) {
    return;
  }
  this->base = aPosition;
  std::erase_if(this->positions, [&](const auto& aEntry) { return aEntry.second <= aPosition; });
}

void SessionPositions::NoteWrite(const std::string& aSession, LogPosition aPosition)
{
  LogPosition& entry = this->positions[aSession];
  entry = std::max(entry, aPosition);
  if (this->positions.size() <= kMaxSessions || !this->base) {
    return;
  }
  LogPosition newest = *this->base;
  for (const auto& [session, position] : this->positions) {
    newest = std::max(newest, position);
  }
  this->SetBase(newest);
}

void SessionPositions::ForgetUpTo(LogPosition aAppliedEverywhere)
{
  // Offsets are comparable only within the term of the base position.
  if (this->base && this->base->term == aAppliedEverywhere.term) {
    this->SetBase(aAppliedEverywhere);
  }
}

std::optional<LogPosition> SessionPositions::RequiredFor(const std::string& aSession) const
{
  if (!this->base) {
    return std::nullopt;
  }
  const auto found = this->positions.find(aSession);
  return found != this->positions.end() ? std::max(found->second, *this->base) : *this->base;
}

} // namespace oleanderledge
