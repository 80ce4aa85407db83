#pragma once

#include "oleanderledge/link/link.hpp"

#include <map>
#include <string>
#include <vector>

namespace oleanderledge {

/// Counts service by class since the process started, over all owned databases.
class ServiceCounters
{
public:
  void NoteServed(const std::string& aClass, bool aInTarget);
  void NoteRefused(const std::string& aClass);
  std::vector<ClassService> Snapshot() const;

private:
  ClassService& EntryOf(const std::string& aClass);

  std::map<std::string, ClassService> entries;
};

} // namespace oleanderledge
