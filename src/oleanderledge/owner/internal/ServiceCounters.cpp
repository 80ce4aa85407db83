#include "oleanderledge/owner/internal/ServiceCounters.hpp"

namespace oleanderledge {

ClassService& ServiceCounters::EntryOf(const std::string& aClass)
{
  ClassService& entry = this->entries[aClass];
  entry.workClass = aClass;
  return entry;
}

void ServiceCounters::NoteServed(const std::string& aClass, bool aInTarget)
{
  ClassService& entry = this->EntryOf(aClass);
  ++entry.served;
  entry.servedInTarget += aInTarget ? 1 : 0;
}

void ServiceCounters::NoteRefused(const std::string& aClass)
{
  ++this->EntryOf(aClass).refused;
}

std::vector<ClassService> ServiceCounters::Snapshot() const
{
  std::vector<ClassService> snapshot;
  snapshot.reserve(this->entries.size());
  for (const auto& [name, entry] : this->entries) {
    snapshot.push_back(entry);
  }
  return snapshot;
}

} // namespace oleanderledge
