#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/entry/OwnerLinks.hpp"
#include "oleanderledge/owner/OwnerService.hpp"
#include "oleanderledge/transport/EmulatedLatency.hpp"

#include <cstdint>

class QObject;

namespace oleanderledge {

class LinkConnection;

/// Link id of the direct path inside one process; links of other processes have ids from 1.
constexpr LinkId kLocalLinkId = 0;

/// Passes messages of entries, in other processes and in this one, to the owner role, and the
/// owner's replies back to them.
class OwnerLinkAcceptor : public ReplySink
{
public:
  /// Sets the owner role that receives the messages. Called once, before the first link.
  virtual void SetOwner(OwnerService* aOwner) = 0;

  /// Takes over an accepted link whose peer is a proxy. The link is re-parented.
  virtual void Adopt(LinkConnection* aLink) = 0;

  virtual std::size_t LinkCount() const = 0;
};

/// Both directions of the links between entries and owners in one proxy process.
struct ProxyLinks
{
  OwnerLinks* outgoing = nullptr;        ///< For CreateEntryService().
  OwnerLinkAcceptor* incoming = nullptr; ///< ReplySink of the owner role.
};

/// Creates both as children of `aParent`. A message to the link address of `aSelf` takes the direct
/// path to the owner role of this process.
ProxyLinks CreateProxyLinks(QObject* aParent,
                            const InstanceInfo& aSelf,
                            const EmulatedLatency& aLatency,
                            std::uint64_t aSeed);

} // namespace oleanderledge
