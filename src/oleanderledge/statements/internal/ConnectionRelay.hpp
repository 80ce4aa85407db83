#pragma once

#include "oleanderledge/statements/internal/ServiceDispatcher.hpp"
#include "oleanderledge/transport/transport.hpp"

#include <QObject>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace oleanderledge {

/// Lets other proxies use connections of this one. Their requests wait in the dispatchers' queues
/// beside those of own callers, by priority.
class ConnectionRelay : public QObject
{
  Q_OBJECT

public:
  /// The dispatcher of the service that a backend server belongs to; null if it is not known.
  using DispatcherLookup = std::function<ServiceDispatcher*(const std::string& aBackend)>;

  ConnectionRelay(DispatcherLookup aLookup, QObject* aParent);
  ~ConnectionRelay() override;

  /// Takes over an accepted link of another proxy.
  void Adopt(LinkConnection* aLink);

  /// Refuses new uses.
  void BeginStop() { this->isStopping = true; }
  /// True if no connection is in use by another proxy.
  bool IsIdle() const { return this->uses.empty(); }
  std::uint64_t UseCount() const { return this->useCount; }

private:
  using Key = std::pair<LinkConnection*, std::uint64_t>; ///< Link and channel.
  struct Use
  {
    ServiceDispatcher* dispatcher = nullptr;
    ServiceDispatcher::Ticket ticket = 0;
    SettingMap settings; ///< Of the session, while the request waits.
    BackendPool* pool = nullptr;
    BackendConnection* connection = nullptr; ///< Null while the request waits.
    TransactionState state = TransactionState::Idle;
  };

  void HandleReceived(LinkConnection* aLink, const Message& aMessage);
  void Handle(LinkConnection* aLink, const RelayOpen& aMessage);
  void Handle(LinkConnection* aLink, const RelayStatement& aMessage);
  void Handle(LinkConnection* aLink, const RelayClose& aMessage);
  void HandlePlaced(const Key& aKey,
                    const std::optional<Placement>& aPlacement,
                    StatementError aError);
  void HandleResult(const Key& aKey, const StatementResult& aResult);
  void HandleClosed(LinkConnection* aLink);
  /// Ends a use whose proxy is gone.
  void Abandon(Use& aUse);
  static void Refuse(const Key& aKey, RelayOutcome aOutcome);

  DispatcherLookup lookup;
  std::map<Key, std::unique_ptr<Use>> uses;
  std::uint64_t useCount = 0;
  bool isStopping = false;
};

} // namespace oleanderledge
