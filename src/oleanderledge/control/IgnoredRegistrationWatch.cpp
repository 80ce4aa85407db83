#include "oleanderledge/control/IgnoredRegistrationWatch.hpp"

namespace oleanderledge {

IgnoredRegistrationWatch::IgnoredRegistrationWatch(Duration aRegistrationTimeout)
  : registrationTimeout(aRegistrationTimeout)
{
}

void IgnoredRegistrationWatch::OnAccepted(std::string_view aBackend)
{
  const auto found = this->seriesByBackend.find(aBackend);
  if (found != this->seriesByBackend.end()) {
    this->seriesByBackend.erase(found);
  }
}

bool IgnoredRegistrationWatch::OnIgnored(const BackendRow& aRegistration,
                                         std::uint64_t aRowVersion,
                                         Instant aNow)
{
  std::erase_if(this->seriesByBackend, [this, aNow](const auto& aEach) {
    return aNow - aEach.second.lastAt > this->registrationTimeout;
  });
  const Series first{
    aRowVersion, aRegistration.startedUnixMs, aRegistration.sequence, aNow, aNow
  };
  const auto [position, isNew] = this->seriesByBackend.try_emplace(aRegistration.name, first);
  Series& series = position->second;
  if (isNew) {
    return false;
  }
  if (series.rowVersion != aRowVersion || series.startedUnixMs < aRegistration.startedUnixMs) {
    series = first;
    return false;
  }
  if (series.startedUnixMs > aRegistration.startedUnixMs ||
      series.sequence >= aRegistration.sequence) {
    return false;
  }
  series.sequence = aRegistration.sequence;
  series.lastAt = aNow;
  return aNow - series.firstAt >= this->registrationTimeout;
}

} // namespace oleanderledge
