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

/// `aDuration`, doubled `aTimes` times, but at most `aLongest`.
Duration Doubled(Duration aDuration, std::uint32_t aTimes, Duration aLongest)
{
  for (std::uint32_t time = 0; time < aTimes && aDuration < aLongest; ++time) {
    aDuration *= 2;
  }
  return std::min(aDuration, aLongest);
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
  if (this->committedVersion > this->directory->Version() && !this->behindSince) {
    this->behindSince = aNow;
  }
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
  this->behindSince.reset();
  this->overdueAddresses = 0;
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
  const bool isOverdue = this->IsDirectoryOverdue(aNow);
  const bool isSilent = aNow - lastContact > timeout && this->addressSelectedAt != Instant{};
  if (hasOther && (isOverdue || isSilent)) {
    this->overdueAddresses += isOverdue ? 1 : 0;
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
  return Doubled(this->timing.linkTimeout, this->failedLinks, this->timing.linkTimeoutMax);
}

bool ControlContact::IsDirectoryOverdue(Instant aNow) const
{
  return this->behindSince && aNow - *this->behindSince > Doubled(this->timing.directoryTimeout,
                                                                  this->overdueAddresses,
                                                                  this->timing.directoryTimeoutMax);
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
  this->behindSince.reset();
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
