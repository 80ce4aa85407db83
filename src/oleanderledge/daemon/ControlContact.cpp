#include "oleanderledge/daemon/ControlContact.hpp"

#include <algorithm>
#include <functional>

namespace oleanderledge {

namespace {

/// Proxies start at different addresses so that their heartbeats spread over the control instances.
std::size_t FirstAddress(const InstanceInfo& aSelf, std::size_t aCount)
{
  return aCount == 0 ? 0 : std::hash<std::string>{}(aSelf.id) % aCount;
}

} // namespace

ControlContact::ControlContact(InstanceInfo aSelf,
                               std::vector<std::string> aAddresses,
                               ContactTiming aTiming)
  : self(std::move(aSelf))
  , addresses(std::move(aAddresses))
  , firstAddresses(this->addresses)
  , timing(aTiming)
  , directory(std::make_shared<Directory>())
  , addressIndex(FirstAddress(this->self, this->addresses.size()))
{
}

Heartbeat ControlContact::MakeHeartbeat(std::vector<OwnerReport> aOwned,
                                        std::vector<ClassService> aService,
                                        Instant aNow)
{
  Heartbeat heartbeat;
  heartbeat.instance = this->self;
  heartbeat.sequence = ++this->sequence;
  heartbeat.sentUs = ToMicroseconds(aNow);
  heartbeat.directoryVersion = this->directory->Version();
  heartbeat.owned = std::move(aOwned);
  heartbeat.service = std::move(aService);
  return heartbeat;
}

bool ControlContact::HandleReply(const HeartbeatReply& aReply, Instant aNow)
{
  const bool isOwn = aReply.instance == this->self.id &&
                     aReply.incarnation == this->self.incarnation &&
                     aReply.sequence <= this->sequence && aReply.sentUs <= ToMicroseconds(aNow);
  if (!isOwn || !aReply.accepted) {
    return false;
  }
  this->lastAcceptedSent = std::max(this->lastAcceptedSent, FromMicroseconds(aReply.sentUs));
  this->hasContact = true;
  this->committedVersion = std::max(this->committedVersion, aReply.committedVersion);
  this->proxyCount = aReply.proxyCount;
  if (!aReply.controlAddresses.empty() && aReply.controlAddresses != this->learnedAddresses) {
    this->learnedAddresses = aReply.controlAddresses;
    this->MergeAddresses();
  }
  return true;
}

bool ControlContact::HandleUpdate(const DirectoryUpdate& aUpdate)
{
  // Traffic threads hold the present directory, so the change goes to a copy.
  auto changed = std::make_shared<Directory>(*this->directory);
  if (!changed->Apply(aUpdate)) {
    return false;
  }
  this->directory = std::move(changed);
  return true;
}

bool ControlContact::IsOutOfContact(Instant aNow) const
{
  return !this->hasContact || aNow - this->lastAcceptedSent > this->timing.leaseLength;
}

bool ControlContact::IsReady(Instant aNow) const
{
  return !this->self.leaving && !this->IsOutOfContact(aNow) &&
         this->directory->Version() >= this->committedVersion;
}

const std::string& ControlContact::AddressAt(Instant aNow)
{
  const Instant lastSign = std::max(this->addressSince, this->lastAcceptedSent);
  if (aNow - lastSign > this->timing.switchAfter && this->addressSince != Instant{}) {
    this->UseNextAddress(aNow);
  }
  if (this->addressSince == Instant{}) {
    this->addressSince = aNow;
  }
  return this->addresses[this->addressIndex];
}

void ControlContact::SetFirstAddresses(std::vector<std::string> aAddresses)
{
  this->firstAddresses = std::move(aAddresses);
  this->MergeAddresses();
}

void ControlContact::MergeAddresses()
{
  const std::string present = this->addresses[this->addressIndex];
  this->addresses = this->learnedAddresses;
  for (const std::string& address : this->firstAddresses) {
    if (std::ranges::find(this->addresses, address) == this->addresses.end()) {
      this->addresses.push_back(address);
    }
  }
  const auto found = std::ranges::find(this->addresses, present);
  if (found == this->addresses.end()) {
    // The present link still works although its member has left the group.
    this->addresses.push_back(present);
    this->addressIndex = this->addresses.size() - 1;
    return;
  }
  this->addressIndex = static_cast<std::size_t>(found - this->addresses.begin());
}

void ControlContact::NoteLinkClosed(Instant aNow)
{
  this->UseNextAddress(aNow);
}

void ControlContact::UseNextAddress(Instant aNow)
{
  this->addressIndex = (this->addressIndex + 1) % this->addresses.size();
  this->addressSince = aNow;
}

Duration ControlContact::NextInterval() const
{
  for (const auto& [name, row] : this->directory->Databases()) {
    if (row.owner != this->self.id || row.phase == FailoverPhase::Steady) {
      continue;
    }
    return this->timing.urgentInterval;
  }
  return this->timing.heartbeatInterval;
}

} // namespace oleanderledge
