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

/// Lends connections of this proxy to other proxies. Their requests wait in the queues of the
/// dispatchers together with those of this proxy's callers, by priority.
class ConnectionRelay : public QObject
{
  Q_OBJECT

public:
  /// Returns the dispatcher of the service of a backend server; null if the server is unknown.
  using DispatcherLookup = std::function<ServiceDispatcher*(const std::string& aBackend)>;

  ConnectionRelay(const StatementProtocol& aProtocol, DispatcherLookup aLookup, QObject* aParent);
  ~ConnectionRelay() override;

  /// Takes ownership of an accepted link of another proxy.
  void AcceptLink(LinkConnection* aLink);

  /// Rejects new requests from now on.
  void BeginStop() { this->isStopping = true; }
  /// Refuses all statements from now on, because this process might end before their answers. Open
  /// transactions are rolled back once their proxies return the connections.
  void RefuseStatements() { this->refusesStatements = true; }
  /// True if no other proxy uses or requests a connection.
  bool IsIdle() const { return this->uses.empty(); }
  /// Number of times that a connection was lent since the start.
  std::uint64_t UseCount() const { return this->useCount; }

private:
  using ChannelKey = std::pair<LinkConnection*, std::uint64_t>; ///< Link and channel.
  /// A connection that another proxy uses, or its request for one.
  struct RelayedUse
  {
    ServiceDispatcher* dispatcher = nullptr;
    ServiceDispatcher::Ticket ticket = 0;
    SettingMap settings; ///< Of the session that requested it.
    std::size_t settingBytes = 0;
    BackendPool* pool = nullptr;
    BackendConnection* connection = nullptr; ///< Null while the request waits.
    TransactionState state = TransactionState::Idle;
  };

  void HandleReceived(LinkConnection* aLink, const Message& aMessage);
  void Handle(LinkConnection* aLink, const RelayOpen& aMessage);
  void Handle(LinkConnection* aLink, const RelayStatement& aMessage);
  void Handle(LinkConnection* aLink, const RelayClose& aMessage);
  void HandlePlaced(const ChannelKey& aKey,
                    const std::optional<Placement>& aPlacement,
                    StatementError aError);
  void HandleResult(const ChannelKey& aKey, const StatementResult& aResult);
  /// Answers a statement, which was not sent to the server, with a promise that it was not
  /// executed.
  void RefuseStatement(const ChannelKey& aKey, const RelayedUse& aUse);
  void HandleClosed(LinkConnection* aLink);
  /// Releases the connection, or cancels the request, of a proxy that has disconnected.
  void ReleaseOrphaned(RelayedUse& aUse);
  static void Refuse(const ChannelKey& aKey, RelayOutcome aOutcome);
  /// Sends a message, and closes the link if its peer leaves too much unread.
  static void SendTo(LinkConnection* aLink, const Message& aMessage);
  /// Whether a link may request one more connection, with settings of this size.
  bool HasRoomFor(LinkConnection* aLink, std::size_t aSettingBytes) const;

  const StatementProtocol& protocol;
  DispatcherLookup lookup;
  std::map<ChannelKey, std::unique_ptr<RelayedUse>> uses;
  std::uint64_t useCount = 0;
  bool isStopping = false;
  bool refusesStatements = false;
};

} // namespace oleanderledge
