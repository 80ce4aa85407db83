#pragma once

#include "oleanderledge/owner/internal/SlotTracker.hpp"
#include "oleanderledge/owner/internal/UnitExecution.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace oleanderledge {

enum class ConnectionPhase : std::uint8_t
{
  Opening,
  Idle,
  Running,       ///< Runs a unit.
  InTransaction, ///< Waits for the next unit of the channel that owns the transaction.
  Resetting,     ///< Rolls back or discards session state.
  Quarantined,   ///< Waits until a cancellation that was sent can no longer hit another unit.
};

/// One connection to a backend server.
struct PooledConnection
{
  ConnectionId id = 0;
  std::string slot;
  ConnectionPhase phase = ConnectionPhase::Opening;
  BackendSession session;
  char transactionStatus = 'I';
  int pendingCancellations = 0; ///< Sent and not yet finished.
  bool closeWhenFree = false;

  // While in use.
  std::uint64_t unit = 0;
  ChannelKey channel;
  std::unique_ptr<UnitExecution> execution;
  std::string workClass;
  std::string caller;
  Instant inUseSince;

  Instant lastUsed;
};

/// The connections of one database and the plan which to open and close.
class ConnectionPool
{
public:
  /// Total number of connections, over all slots.
  void SetLimit(std::uint32_t aLimit) { this->limit = aLimit; }
  std::uint32_t Limit() const { return this->limit; }

  PooledConnection& Open(const std::string& aSlot, Instant aNow);
  void Erase(ConnectionId aId);
  PooledConnection* Find(ConnectionId aId);

  /// The idle connection of the slot whose settings are nearest to the request's, or null.
  PooledConnection* FindIdle(std::string_view aSlot, const StatementRequest& aRequest);
  bool HasIdle(std::string_view aSlot) const;
  std::size_t CountOn(std::string_view aSlot) const;
  std::size_t CountIn(std::string_view aSlot, ConnectionPhase aPhase) const;
  std::size_t BusyCountOn(std::string_view aSlot) const;
  std::size_t Size() const { return this->connections.size(); }

  /// Identifiers of connections that match; safe to iterate while connections are erased.
  std::vector<ConnectionId> Select(
    const std::function<bool(const PooledConnection&)>& aMatches) const;

  /// Remembers that an opening failed, which delays the next one on the slot.
  void NoteOpenFailed(const std::string& aSlot, Instant aNow);
  void NoteOpened(const std::string& aSlot);

  /// What to open and close now.
  struct Plan
  {
    std::vector<std::string> open;
    std::vector<ConnectionId> close;
  };

  /// `aWaitingUnits`: number of units per slot that wait for a connection. `aUsable`: slots that
  /// may get connections, each of which is kept warm.
  Plan MakePlan(const std::map<std::string, std::size_t>& aWaitingUnits,
                const std::set<std::string>& aUsable,
                Instant aNow) const;

private:
  struct OpeningBackOff
  {
    int failures = 0;
    Instant next{};
  };

  std::optional<ConnectionId> FindClosableConnection(
    const std::map<std::string, std::size_t>& aWaitingUnits,
    const std::set<ConnectionId>& aTaken,
    std::size_t aKeptPerSlot) const;
  bool CanOpen(const std::string& aSlot, Instant aNow) const;

  std::uint32_t limit = 1;
  ConnectionId lastId = 0;
  std::map<ConnectionId, PooledConnection> connections;
  std::map<std::string, OpeningBackOff, std::less<>> backOffs;
};

} // namespace oleanderledge
