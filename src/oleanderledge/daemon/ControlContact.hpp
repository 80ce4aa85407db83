#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/link.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace oleanderledge {

/// Lengths of time that govern the contact of a proxy with the control group.
struct ContactTiming
{
  Duration heartbeatInterval = std::chrono::milliseconds(200);
  /// Interval while an owned database changes its primary or owner, so that its release or drain is
  /// reported without waiting for the next ordinary heartbeat.
  Duration urgentInterval = std::chrono::milliseconds(20);
  /// Without an accepted answer for this long the proxy counts as out of contact.
  Duration leaseLength = std::chrono::milliseconds(1000);
  /// Without an accepted answer for this long another control address is tried.
  Duration switchAfter = std::chrono::milliseconds(450);
};

/// The proxy's view of the control group: the directory in force, whether it is current, and which
/// control address to contact. Pure: receives messages and the time.
class ControlContact
{
public:
  ControlContact(InstanceInfo aSelf, std::vector<std::string> aAddresses, ContactTiming aTiming);

  /// Builds the next heartbeat; `aNow` is the time from which leases will be counted.
  Heartbeat MakeHeartbeat(std::vector<OwnerReport> aOwned,
                          std::vector<ClassService> aService,
                          Instant aNow);

  /// Returns true if the reply answers a heartbeat of this process and was accepted by the leader,
  /// so that its leases count from `aReply.sentUs`.
  bool HandleReply(const HeartbeatReply& aReply, Instant aNow);

  /// Returns true if the directory changed.
  bool HandleUpdate(const DirectoryUpdate& aUpdate);

  /// True if the contact is older than a lease length.
  bool IsOutOfContact(Instant aNow) const;
  /// True while the directory is the leader's or newer and contact is current.
  bool IsReady(Instant aNow) const;

  /// The control address to use at `aNow`; moves on to the next one after a time without answer.
  const std::string& AddressAt(Instant aNow);
  /// The link to the present address failed: moves on to the next one.
  void NoteLinkClosed(Instant aNow);

  /// Time until the next heartbeat.
  Duration NextInterval() const;

  /// When the newest heartbeat was sent that the leader has answered.
  Instant LastAcceptedSent() const { return this->lastAcceptedSent; }

  /// Number of live proxies as the leader counts them; 0 if not known.
  std::uint32_t ProxyCount() const { return this->proxyCount; }

  /// Replaces the addresses from the settings.
  void SetFirstAddresses(std::vector<std::string> aAddresses);

  void SetLeaving() { this->self.leaving = true; }
  std::shared_ptr<const Directory> CurrentDirectory() const { return this->directory; }
  const InstanceInfo& Self() const { return this->self; }

private:
  void UseNextAddress(Instant aNow);
  /// Lists the addresses that the leader named, then those from the settings.
  void MergeAddresses();

  InstanceInfo self;
  std::vector<std::string> addresses;
  std::vector<std::string> firstAddresses; ///< From the settings.
  std::vector<std::string> learnedAddresses;
  ContactTiming timing;
  std::shared_ptr<const Directory> directory;
  std::size_t addressIndex = 0;
  Instant addressSince{};
  Instant lastAcceptedSent{};
  bool hasContact = false;
  std::uint64_t sequence = 0;
  std::uint64_t committedVersion = 0;
  std::uint32_t proxyCount = 0;
};

} // namespace oleanderledge
