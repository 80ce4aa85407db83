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

/// What a pooled connection is used for at present.
enum class ConnectionPhase : std::uint8_t
{
  Opening,
  Idle,
  Running,       ///< Runs a unit.
  InTransaction, ///< Waits for the next unit of the channel that owns the transaction.
  Resetting,     ///< Rolls back a transaction or discards session state.
  Quarantined,   ///< Waits until a cancellation that was sent can no longer cancel another unit.
};

/// One connection to a backend server and the unit that it runs.
struct PooledConnection
{
  ConnectionId id = 0;
  std::string slot;
  ConnectionPhase phase = ConnectionPhase::Opening;
  BackendSession session;
  char transactionStatus = 'I'; ///< As in ReadyForQuery: I, T or E.
  int pendingCancellations = 0; ///< Sent, but not yet processed by the server.
  bool closeWhenFree = false;

  // Set while in use.
  std::uint64_t unit = 0; ///< Id of the running unit, 0 for none.
  ChannelKey channel;
  std::unique_ptr<UnitExecution> execution;
  std::string workClass;
  std::string caller;
  Instant inUseSince; ///< Zero while not in use.

  Instant lastUsed;
};

/// The connections of one database over all slots. Plans which to open and close, within a limit.
class ConnectionPool
{
public:
  /// Sets the largest number of connections over all slots.
  void SetLimit(std::uint32_t aLimit) { this->limit = aLimit; }
  std::uint32_t Limit() const { return this->limit; }

  /// Adds a connection in phase Opening; opening the socket is left to the calling code.
  PooledConnection& Open(const std::string& aSlot, Instant aNow);
  void Erase(ConnectionId aId);
  /// The connection, or null.
  PooledConnection* Find(ConnectionId aId);

  /// The idle connection of the slot whose session settings differ least from the request's, or
  /// null.
  PooledConnection* FindIdle(std::string_view aSlot, const StatementRequest& aRequest);
  bool HasIdle(std::string_view aSlot) const;
  std::size_t CountOn(std::string_view aSlot) const;
  std::size_t CountIn(std::string_view aSlot, ConnectionPhase aPhase) const;
  /// Number of connections of the slot that run a unit or belong to an open transaction.
  std::size_t BusyCountOn(std::string_view aSlot) const;
  std::size_t Size() const { return this->connections.size(); }

  /// Identifiers of the matching connections. The result stays valid while connections are erased.
  std::vector<ConnectionId> Select(
    const std::function<bool(const PooledConnection&)>& aMatches) const;

  /// Records that a connection could not be opened. Further ones on the slot are delayed with
  /// exponential back-off.
  void NoteOpenFailed(const std::string& aSlot, Instant aNow);
  /// Records that a connection was opened, which ends the delay.
  void NoteOpened(const std::string& aSlot);

  /// Connections to open, by slot, and to close.
  struct Plan
  {
    std::vector<std::string> open;
    std::vector<ConnectionId> close;
  };

  /// Plans the next changes. `aWaitingUnits` is the number of units by slot that wait for a
  /// connection. `aUsable` are the slots that may have connections; each gets a minimum number of
  /// them, as far as the limit allows.
  Plan MakePlan(const std::map<std::string, std::size_t>& aWaitingUnits,
                const std::set<std::string>& aUsable,
                Instant aNow) const;

private:
  struct OpeningBackOff
  {
    int failures = 0;
    Instant next{}; ///< Earliest time of the next opening.
  };

  /// The idle connection that was unused for the longest time, among slots without waiting units
  /// that have more than `aKeptPerSlot` connections. Connections in `aTaken` do not count.
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
