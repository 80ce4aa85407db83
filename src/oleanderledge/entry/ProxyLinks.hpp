#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/entry/OwnerLinks.hpp"
#include "oleanderledge/owner/OwnerService.hpp"
#include "oleanderledge/transport/EmulatedLatency.hpp"

#include <cstdint>

class QObject;

namespace oleanderledge {

class LinkConnection;

/// Link id of the in-process path; links from other processes have ids from 1.
constexpr LinkId kLocalLinkId = 0;

/// Passes messages from entries, in this and in other processes, to the owner role, and the owner's
/// replies back to them.
class OwnerLinkAcceptor : public ReplySink
{
public:
  /// Sets the owner role that receives the messages. Called once, before the first link. Without an
  /// owner role, statements are refused with NotOwner.
  virtual void SetOwner(OwnerService* aOwner) = 0;

  /// Takes ownership of an accepted link whose peer is a proxy, as its QObject parent.
  virtual void Adopt(LinkConnection* aLink) = 0;

  virtual std::size_t LinkCount() const = 0;
};

/// Both directions of the links between entries and owners in one proxy process.
struct ProxyLinks
{
  OwnerLinks* outgoing = nullptr;        ///< For CreateEntryService().
  OwnerLinkAcceptor* incoming = nullptr; ///< ReplySink of the owner role.
};

/// Creates both directions as children of `aParent`. A message to the link address of `aSelf` is
/// passed to the owner role of this process without a connection. `aSeed` is for the jitter of
/// reconnection delays.
ProxyLinks CreateProxyLinks(QObject* aParent,
                            const InstanceInfo& aSelf,
                            const EmulatedLatency& aLatency,
                            std::uint64_t aSeed);

} // namespace oleanderledge
