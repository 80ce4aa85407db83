#include "oleanderledge/organisations/KeyGate.hpp"

#include <algorithm>

namespace oleanderledge {

void KeyGate::SetDirectoryCurrentAt(Instant aHeartbeatSent)
{
  this->directoryCurrentAt = std::max(this->directoryCurrentAt, aHeartbeatSent);
}

bool KeyGate::IsOutOfContact(Instant aNow) const
{
  return this->validity > Duration{ 0 } && (this->directoryCurrentAt == Instant{} ||
                                            aNow - this->directoryCurrentAt > this->validity);
}

KeyDecision KeyGate::Check(const Directory& aDirectory,
                           const RouteRow& aRoute,
                           std::string_view aKeyDigest,
                           Instant aNow) const
{
  if (!aDirectory.UsesOrganisations() || aRoute.isPublic) {
    return {};
  }
  // Asked first: a key that is not known here may have been added meanwhile.
  if (this->IsOutOfContact(aNow)) {
    return { KeyVerdict::OutOfContact, {} };
  }
  const OrganisationRow* organisation = aDirectory.FindOrganisationOfKey(aKeyDigest);
  if (organisation == nullptr) {
    return { KeyVerdict::UnknownKey, {} };
  }
  return { KeyVerdict::Admitted, organisation->name };
}

} // namespace oleanderledge
