#pragma once

#include "oleanderledge/link/link.hpp"

#include <string>

namespace oleanderledge {

/// Told what happens on the links to owners. Never called from inside Open() or Send().
class OwnerLinksListener
{
public:
  virtual ~OwnerLinksListener() = default;

  /// Messages can be sent to this address now.
  virtual void OnLinkReady(const std::string& aAddress) = 0;
  /// The link was lost: the owner rolls back what was open. Called only after OnLinkReady().
  virtual void OnLinkClosed(const std::string& aAddress) = 0;
  virtual void OnLinkReply(const std::string& aAddress, StatementReply&& aReply) = 0;
  /// The links are being destroyed and must not be used any more.
  virtual void OnLinksDestroyed() = 0;
};

/// The links from this entry to owners, by the link address ("ip:port") of the owner. One link
/// carries the units of all callers to one owner.
class OwnerLinks
{
public:
  virtual ~OwnerLinks() = default;

  /// At most one listener; null to unset.
  virtual void SetListener(OwnerLinksListener* aListener) = 0;

  /// Opens the link if it is not open, and keeps re-opening it with back-off while it is wanted.
  /// OnLinkReady() follows unless it was called already and the link has stayed open since.
  virtual void Open(const std::string& aAddress) = 0;

  /// Sends a message. Returns false, without having sent any byte, if the link is not ready.
  virtual bool Send(const std::string& aAddress, Message&& aMessage) = 0;
};

} // namespace oleanderledge
