#include "oleanderledge/statements/SessionCommits.hpp"

#include <algorithm>

namespace oleanderledge {

void SessionCommits::Record(std::string_view aService, const LogPosition& aPosition)
{
  const auto known = this->newest.find(aService);
  if (known == this->newest.end()) {
    this->newest.emplace(aService, aPosition);
    return;
  }
  known->second = std::max(known->second, aPosition);
}

std::optional<LogPosition> SessionCommits::NewestOn(std::string_view aService) const
{
  const auto found = this->newest.find(aService);
  return found == this->newest.end() ? std::nullopt : std::optional(found->second);
}

} // namespace oleanderledge
