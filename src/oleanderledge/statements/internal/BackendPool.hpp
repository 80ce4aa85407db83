#pragma once

#include "oleanderledge/link/RouteRows.hpp"
#include "oleanderledge/statements/BackendHealth.hpp"
#include "oleanderledge/statements/ConcurrencyWindow.hpp"
#include "oleanderledge/statements/internal/BackendConnection.hpp"
#include "oleanderledge/statements/internal/RelayClient.hpp"

#include <QObject>

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderledge {

/// What a waiting statement asks of a connection that is opened for it.
struct ConnectionNeed
{
  std::uint32_t priority = 0;
  Instant giveUpAt{};
  SettingMap settings; ///< Of the session.
};

/// The connections to one backend server: those of this proxy, or uses of those of relays.
class BackendPool : public QObject
{
  Q_OBJECT

public:
  BackendPool(const StatementProtocol& aProtocol,
              const BackendRow& aRow,
              RelayClient& aRelayClient,
              QObject* aParent);

  /// Takes a newer row. Connections to a server at another address or of a later start are dropped.
  void Update(const BackendRow& aRow);
  /// Connections that this proxy may hold until it is granted a number.
  void SetFirstLimit(std::uint32_t aLimit);
  /// Connections that this proxy may hold from now on; those beyond it close when they are idle. Or
  /// the relays that it uses instead.
  void ApplyGrant(const ConnectionGrant& aGrant);
  /// True if statements run on connections of relays.
  bool IsRelayed() const { return !this->relays.empty(); }
  /// Ends uses of relays that no statement took.
  void ReturnUnused();
  /// Records that so many connections are in use or waited for.
  void NoteDemand(std::size_t aConnections);
  /// The highest demand since the last call.
  std::uint32_t TakeDemand();

  const BackendRow& Row() const { return this->row; }
  const BackendHealth& Health() const { return this->health; }

  std::size_t IdleCount() const { return this->idle.size(); }
  std::uint32_t Limit() const { return this->limit; }
  bool HasIdle() const { return !this->idle.empty(); }
  bool MayOpen(Instant aNow) const;
  std::size_t OpeningCount() const { return this->opening; }
  /// Time since the oldest attempt to open a connection that is still going on.
  Duration OpeningFor(Instant aNow) const;
  /// Connections that callers hold.
  std::size_t InUse() const { return this->connections.size() - this->opening - this->idle.size(); }
  std::size_t ConnectionCount() const { return this->connections.size(); }
  std::uint64_t OpenedCount() const { return this->openedCount; }

  void Open(const ConnectionNeed& aNeed);
  /// An idle connection, preferably one with these settings in force; null if there is none.
  BackendConnection* Take(const SettingMap& aSettings);
  /// Gives a connection back. One that is in a transaction is rolled back first.
  void Release(BackendConnection* aConnection, bool aInTransaction);
  /// Gives a connection back once its statement has ended, because the caller has left.
  void ReleaseWhenDone(BackendConnection* aConnection);
  /// Drops a connection whose answer can no longer be used.
  void Drop(BackendConnection* aConnection, bool aIsFailure);
  /// Records how the server answered a statement of this proxy's own callers.
  void NoteResult(const StatementResult& aResult, Instant aNow);
  /// The same for one of another proxy, whose time is not that of a whole statement.
  void NoteRelayedResult(const StatementResult& aResult, Instant aNow);
  /// False while so many statements are at the server that it would refuse more.
  bool HasRoom(std::uint32_t aPriority) const
  {
    return this->IsRelayed() || this->window.Allows(this->InUse(), aPriority);
  }
  /// Notes if the server has left all running statements unanswered for long. Returns true if so.
  bool CheckSilence(Instant aNow);
  /// Records that the server had the position that a read needed.
  void NotePositionMet() { this->health.OnPositionMet(); }
  /// Closes connections that are idle for long.
  void CloseIdle(Instant aNow);
  void CloseAll();

Q_SIGNALS:
  /// A connection became idle, or a waiting statement may be placed otherwise.
  void Changed();

private:
  BackendConnection* NewConnection(const ConnectionNeed& aNeed);
  void HandleClosed(BackendConnection* aConnection);
  void Forget(BackendConnection* aConnection);

  const StatementProtocol& protocol;
  RelayClient& relayClient;
  BackendRow row;
  std::vector<std::string> relays; ///< Link addresses.
  BackendHealth health;
  ConcurrencyWindow window;
  std::vector<BackendConnection*> connections;
  std::vector<BackendConnection*> idle;
  std::size_t opening = 0;
  std::uint32_t limit = 1;
  bool isGranted = false;
  std::uint32_t demand = 0;
  std::uint64_t openedCount = 0;
  Instant refusedUntil{};
};

} // namespace oleanderledge
