#pragma once

#include "oleanderledge/link/link.hpp"

#include <string>

namespace oleanderledge {

/// Receives the events of the links to owners. Never called from inside Open() or Send().
class OwnerLinksListener
{
public:
  virtual ~OwnerLinksListener() = default;

  /// The link is open: messages can be sent to this address.
  virtual void OnLinkReady(const std::string& aAddress) = 0;
  /// The link is closed: the owner rolls back the open transactions of its channels. Called only
  /// after OnLinkReady().
  virtual void OnLinkClosed(const std::string& aAddress) = 0;
  virtual void OnLinkReply(const std::string& aAddress, StatementReply&& aReply) = 0;
  /// The links are being destroyed and must not be used from now on.
  virtual void OnLinksDestroyed() = 0;
};

/// Links from this entry to owners, identified by the link address ("ip:port") of the owner. One
/// link carries the units of all callers to one owner.
class OwnerLinks
{
public:
  virtual ~OwnerLinks() = default;

  /// Sets the only listener; null removes it.
  virtual void SetListener(OwnerLinksListener* aListener) = 0;

  /// Opens the link if it is not open; a lost link is re-opened with back-off as long as it is in
  /// use. OnLinkReady() follows unless the link is already ready.
  virtual void Open(const std::string& aAddress) = 0;

  /// Sends a message. Returns false, without having sent any byte, if the link is not ready.
  virtual bool Send(const std::string& aAddress, Message&& aMessage) = 0;
};

} // namespace oleanderledge
