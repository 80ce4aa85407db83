#pragma once

#include "oleanderledge/link/link.hpp"

#include <map>
#include <string>
#include <vector>

namespace oleanderledge {

/// Counts served and refused units by class, over all owned databases since the process started.
class ServiceCounters
{
public:
  /// Counts a served unit; `aInTarget` tells whether it met the target of its class.
  void NoteServed(const std::string& aClass, bool aInTarget);
  void NoteRefused(const std::string& aClass);
  std::vector<ClassService> Snapshot() const;

private:
  ClassService& EntryOf(const std::string& aClass);

  std::map<std::string, ClassService> entries;
};

} // namespace oleanderledge
