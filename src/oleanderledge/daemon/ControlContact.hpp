#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/link.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleanderledge {

/// Intervals and timeouts of the contact between a proxy and the control group.
struct ContactTiming
{
  Duration heartbeatInterval = std::chrono::milliseconds(200);
  /// Heartbeat interval while an owned database changes its primary or owner, so that its release
  /// or drain is reported without waiting for the next ordinary heartbeat.
  Duration transitionInterval = std::chrono::milliseconds(20);
  /// The proxy is out of contact if the newest accepted heartbeat was sent longer ago than this.
  Duration leaseLength = std::chrono::milliseconds(1000);
  /// The next control address is used after this time without an accepted reply.
  Duration addressTimeout = std::chrono::milliseconds(450);
  /// Takes the place of `addressTimeout` before the first accepted reply, while the current address
  /// replies that there is no leader: after a power loss the others have none either, and a new
  /// link costs time. Longer than two elections.
  Duration leaderlessTimeout = std::chrono::milliseconds(1500);
  /// The next control address is used if no link to the current one is ready after this time: a
  /// round trip between regions takes 24 ms, and an instance without power does not answer at all.
  /// Doubles with each address in turn that fails, so that a crowded instance can catch up.
  Duration linkTimeout = std::chrono::milliseconds(150);
  Duration linkTimeoutMax = std::chrono::milliseconds(1200);
  /// The next control address is used if the current one replies, but brings no part of the version
  /// that the leader has committed for this time. Half of the 3 s in which a configuration has to
  /// be in force. Doubles with each address in turn, so that a large update on a slow link arrives.
  Duration directoryTimeout = std::chrono::milliseconds(1500);
  Duration directoryTimeoutMax = std::chrono::milliseconds(12000);
};

/// The proxy's view of the control group: the directory in force, whether it is current, and which
/// control address to contact. Does no I/O; messages and the time are passed in.
class ControlContact
{
public:
  /// `aAddresses` are the control addresses from the settings. SelectAddress() requires at least
  /// one.
  ControlContact(InstanceInfo aSelf, std::vector<std::string> aAddresses, ContactTiming aTiming);

  /// Builds the next heartbeat. Leases that the reply grants count from `aNow`.
  Heartbeat MakeHeartbeat(std::vector<OwnerReport> aOwned,
                          std::vector<ClassService> aService,
                          Instant aNow);

  /// Returns true if the reply answers a heartbeat of this process and was accepted by the leader,
  /// so that its leases count from `aReply.sentUs`.
  bool HandleReply(const HeartbeatReply& aReply, Instant aNow);

  /// Returns true if the directory changed.
  bool HandleUpdate(const DirectoryUpdate& aUpdate);

  /// True if no heartbeat was accepted that was sent within the last lease length.
  bool IsOutOfContact(Instant aNow) const;
  /// True if the proxy is not leaving, is in contact, and its directory is at least as new as the
  /// version that the leader last reported as committed.
  bool IsReady(Instant aNow) const;

  /// Returns the control address to use at `aNow`. Selects the next one if the address in use has
  /// had no ready link for the link timeout, or no accepted reply for `addressTimeout`.
  const std::string& SelectAddress(Instant aNow);
  /// The link to the address in use is ready.
  void HandleLinkReady(Instant aNow);
  /// The link to the address in use has closed: selects the next address.
  void HandleLinkClosed(Instant aNow);

  /// Time until the next heartbeat, or until the next check of a link that is not ready.
  Duration NextInterval() const;

  /// Time at which the newest accepted heartbeat was sent.
  Instant LastAcceptedSentAt() const { return this->lastAcceptedSentAt; }

  /// Number of live proxies in the last accepted reply; 0 before the first one.
  std::uint32_t ProxyCount() const { return this->proxyCount; }

  /// Replaces the addresses that come from the settings; those that the leader named are kept.
  void SetConfiguredAddresses(std::vector<std::string> aAddresses);

  void SetLeaving() { this->self.leaving = true; }
  std::shared_ptr<const Directory> CurrentDirectory() const { return this->directory; }
  const InstanceInfo& Self() const { return this->self; }

private:
  void UseNextAddress(Instant aNow);
  Duration LinkTimeout() const;
  /// True if the address in use has brought no update of an old directory for the directory
  /// timeout.
  bool IsDirectoryOverdue(Instant aNow) const;
  Duration AddressTimeout(Instant aNow) const;
  /// Rebuilds the list: the addresses that the leader named, then those from the settings.
  void MergeAddresses();

  InstanceInfo self;
  std::vector<std::string> addresses;
  std::vector<std::string> configuredAddresses; ///< From the settings.
  std::vector<std::string> learnedAddresses;    ///< From the last reply that named any.
  ContactTiming timing;
  std::shared_ptr<const Directory> directory;
  std::size_t addressIndex = 0;
  Instant addressSelectedAt{};
  std::optional<Instant> linkReadyAt; ///< Of the link to the address in use.
  std::optional<Instant> repliedAt;   ///< Last reply, accepted or not, of the address in use.
  std::uint32_t failedLinks = 0;      ///< Addresses in turn to which no link became ready.
  std::optional<Instant> behindSince; ///< First reply with a newer version after the last update.
  std::uint32_t overdueAddresses = 0; ///< Addresses in turn that brought no update.
  Instant lastAcceptedSentAt{};
  bool hasContact = false;
  std::uint64_t sequence = 0;
  std::uint64_t committedVersion = 0;
  std::uint32_t proxyCount = 0;
};

} // namespace oleanderledge
