#include "oleanderledge/daemon/ControlContact.hpp"

#include <algorithm>
#include <functional>

namespace oleanderledge {

namespace {

/// Checks of a pending link within its timeout, so that the next address is used soon after it.
constexpr int kChecksPerLinkTimeout = 3;

/// Index derived from the instance id, so that the heartbeats of the proxies spread over the
/// control instances.
std::size_t InitialAddressIndex(const InstanceInfo& aSelf, std::size_t aCount)
{
  return aCount == 0 ? 0 : std::hash<std::string>{}(aSelf.id) % aCount;
}

} // namespace

ControlContact::ControlContact(InstanceInfo aSelf,
                               std::vector<std::string> aAddresses,
                               ContactTiming aTiming)
  : self(std::move(aSelf))
  , addresses(std::move(aAddresses))
  , configuredAddresses(this->addresses)
  , timing(aTiming)
  , directory(std::make_shared<Directory>())
  , addressIndex(InitialAddressIndex(this->self, this->addresses.size()))
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
  const bool isForThisProcess =
    aReply.instance == this->self.id && aReply.incarnation == this->self.incarnation &&
    aReply.sequence <= this->sequence && aReply.sentUs <= ToMicroseconds(aNow);
  if (isForThisProcess) {
    this->repliedAt = aNow;
  }
  if (!isForThisProcess || !aReply.accepted) {
    return false;
  }
  this->lastAcceptedSentAt = std::max(this->lastAcceptedSentAt, FromMicroseconds(aReply.sentUs));
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
  // The traffic thread reads the current directory, so the update is applied to a copy.
  auto changed = std::make_shared<Directory>(*this->directory);
  if (!changed->Apply(aUpdate)) {
    return false;
  }
  this->directory = std::move(changed);
  return true;
}

bool ControlContact::IsOutOfContact(Instant aNow) const
{
  return !this->hasContact || aNow - this->lastAcceptedSentAt > this->timing.leaseLength;
}

bool ControlContact::IsReady(Instant aNow) const
{
  return !this->self.leaving && !this->IsOutOfContact(aNow) &&
         this->directory->Version() >= this->committedVersion;
}

const std::string& ControlContact::SelectAddress(Instant aNow)
{
  const Instant lastContact = this->linkReadyAt
                                ? std::max(*this->linkReadyAt, this->lastAcceptedSentAt)
                                : this->addressSelectedAt;
  const Duration timeout = this->linkReadyAt ? this->AddressTimeout(aNow) : this->LinkTimeout();
  const bool hasOther = this->addresses.size() > 1;
  if (hasOther && aNow - lastContact > timeout && this->addressSelectedAt != Instant{}) {
    this->UseNextAddress(aNow);
  }
  if (this->addressSelectedAt == Instant{}) {
    this->addressSelectedAt = aNow;
  }
  return this->addresses[this->addressIndex];
}

void ControlContact::HandleLinkReady(Instant aNow)
{
  this->linkReadyAt = aNow;
  this->failedLinks = 0;
}

Duration ControlContact::AddressTimeout(Instant aNow) const
{
  const bool isReplying = this->repliedAt && aNow - *this->repliedAt <= this->timing.addressTimeout;
  return isReplying && !this->hasContact ? this->timing.leaderlessTimeout
                                         : this->timing.addressTimeout;
}

Duration ControlContact::LinkTimeout() const
{
  Duration timeout = this->timing.linkTimeout;
  for (std::uint32_t failed = 0; failed < this->failedLinks; ++failed) {
    if (timeout >= this->timing.linkTimeoutMax) {
      return this->timing.linkTimeoutMax;
    }
    timeout *= 2;
  }
  return std::min(timeout, this->timing.linkTimeoutMax);
}

void ControlContact::SetConfiguredAddresses(std::vector<std::string> aAddresses)
{
  this->configuredAddresses = std::move(aAddresses);
  this->MergeAddresses();
}

void ControlContact::MergeAddresses()
{
  const std::string current = this->addresses[this->addressIndex];
  this->addresses = this->learnedAddresses;
  for (const std::string& address : this->configuredAddresses) {
    if (std::ranges::find(this->addresses, address) == this->addresses.end()) {
      this->addresses.push_back(address);
    }
  }
  const auto found = std::ranges::find(this->addresses, current);
  if (found == this->addresses.end()) {
    // Keeps the address in use: its link still works although its member has left the group.
    this->addresses.push_back(current);
    this->addressIndex = this->addresses.size() - 1;
    return;
  }
  this->addressIndex = static_cast<std::size_t>(found - this->addresses.begin());
}

void ControlContact::HandleLinkClosed(Instant aNow)
{
  this->UseNextAddress(aNow);
}

void ControlContact::UseNextAddress(Instant aNow)
{
  this->failedLinks += this->linkReadyAt ? 0 : 1;
  this->linkReadyAt.reset();
  this->repliedAt.reset();
  this->addressIndex = (this->addressIndex + 1) % this->addresses.size();
  this->addressSelectedAt = aNow;
}

Duration ControlContact::NextInterval() const
{
  if (!this->linkReadyAt) {
    return std::min(this->LinkTimeout() / kChecksPerLinkTimeout, this->timing.heartbeatInterval);
  }
  for (const auto& [name, row] : this->directory->Databases()) {
    if (row.owner != this->self.id || row.phase == FailoverPhase::Steady) {
      continue;
    }
    return this->timing.transitionInterval;
  }
  return this->timing.heartbeatInterval;
}

} // namespace oleanderledge
