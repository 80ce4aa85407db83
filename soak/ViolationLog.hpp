#pragma once

#include <string>
#include <vector>

namespace oleanderledge::soak {

/// Broken promises of one run.
class ViolationLog
{
public:
  void Add(std::string aText) { this->lines.push_back(std::move(aText)); }
  const std::vector<std::string>& Lines() const { return this->lines; }

private:
  std::vector<std::string> lines;
};

} // namespace oleanderledge::soak
