#include "oleanderledge/owner/internal/ConnectionPool.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Connections of one database that are opened at the same time. Opening one takes about 12 ms, and
/// more at once would overload a server that has just been promoted.
constexpr std::size_t kMaxConcurrentOpenings = 4;

/// Connections kept open per slot, so that the first units after a pause need not wait for one.
constexpr std::size_t kMinConnectionsPerSlot = 2;

/// Delay after the first failed opening on a slot; it doubles with each further failure.
constexpr Duration kInitialBackOff{ 50'000 };
constexpr int kMaxBackOffDoublings = 4;

/// Idle connections above kMinConnectionsPerSlot are closed after this time.
constexpr Duration kIdleTimeout{ 60'000'000 };

} // namespace

PooledConnection& ConnectionPool::Open(const std::string& aSlot, Instant aNow)
{
  const ConnectionId id = ++this->lastId;
  PooledConnection& connection = this->connections[id];
  connection.id = id;
  connection.slot = aSlot;
  connection.lastUsed = aNow;
  return connection;
}

void ConnectionPool::Erase(ConnectionId aId)
{
  this->connections.erase(aId);
}

PooledConnection* ConnectionPool::Find(ConnectionId aId)
{
  const auto found = this->connections.find(aId);
  return found != this->connections.end() ? &found->second : nullptr;
}

PooledConnection* ConnectionPool::FindIdle(std::string_view aSlot, const StatementRequest& aRequest)
{
  PooledConnection* best = nullptr;
  std::size_t bestDifference = 0;
  for (auto& [id, connection] : this->connections) {
    if (connection.phase != ConnectionPhase::Idle || connection.slot != aSlot) {
      continue;
    }
    const std::size_t difference =
      connection.session.CountDifferingSettings(aRequest.settings, aRequest.readOnly);
    // Prefers the most recently used connection, so that surplus ones stay unused and reach the
    // idle timeout.
    if (best == nullptr || difference < bestDifference ||
        (difference == bestDifference && connection.lastUsed > best->lastUsed)) {
      best = &connection;
      bestDifference = difference;
    }
  }
  return best;
}

bool ConnectionPool::HasIdle(std::string_view aSlot) const
{
  return this->CountIn(aSlot, ConnectionPhase::Idle) > 0;
}

std::size_t ConnectionPool::CountOn(std::string_view aSlot) const
{
  return static_cast<std::size_t>(
    std::count_if(this->connections.begin(), this->connections.end(), [&](const auto& aEntry) {
      return aEntry.second.slot == aSlot;
    }));
}

std::size_t ConnectionPool::CountIn(std::string_view aSlot, ConnectionPhase aPhase) const
{
  return static_cast<std::size_t>(
    std::count_if(this->connections.begin(), this->connections.end(), [&](const auto& aEntry) {
      return aEntry.second.slot == aSlot && aEntry.second.phase == aPhase;
    }));
}

std::size_t ConnectionPool::BusyCountOn(std::string_view aSlot) const
{
  return this->CountIn(aSlot, ConnectionPhase::Running) +
         this->CountIn(aSlot, ConnectionPhase::InTransaction);
}

std::vector<ConnectionId> ConnectionPool::Select(
  const std::function<bool(const PooledConnection&)>& aMatches) const
{
  std::vector<ConnectionId> selected;
  for (const auto& [id, connection] : this->connections) {
    if (aMatches(connection)) {
      selected.push_back(id);
    }
  }
  return selected;
}

void ConnectionPool::NoteOpenFailed(const std::string& aSlot, Instant aNow)
{
  OpeningBackOff& backOff = this->backOffs[aSlot];
  backOff.next = aNow + kInitialBackOff * (1 << backOff.failures);
  backOff.failures = std::min(backOff.failures + 1, kMaxBackOffDoublings);
}

void ConnectionPool::NoteOpened(const std::string& aSlot)
{
  this->backOffs.erase(aSlot);
}

bool ConnectionPool::CanOpen(const std::string& aSlot, Instant aNow) const
{
  const auto found = this->backOffs.find(aSlot);
  return found == this->backOffs.end() || aNow >= found->second.next;
}

std::optional<ConnectionId> ConnectionPool::FindClosableConnection(
  const std::map<std::string, std::size_t>& aWaitingUnits,
  const std::set<ConnectionId>& aTaken,
  std::size_t aKeptPerSlot) const
{
  std::map<std::string_view, std::size_t> remaining;
  for (const auto& [id, connection] : this->connections) {
    remaining[connection.slot] += aTaken.contains(id) ? 0 : 1;
  }
  const PooledConnection* oldest = nullptr;
  for (const auto& [id, connection] : this->connections) {
    if (connection.phase != ConnectionPhase::Idle || aWaitingUnits.contains(connection.slot) ||
        aTaken.contains(id) || remaining[connection.slot] <= aKeptPerSlot) {
      continue;
    }
    if (oldest == nullptr || connection.lastUsed < oldest->lastUsed) {
      oldest = &connection;
    }
  }
  return oldest != nullptr ? std::optional(oldest->id) : std::nullopt;
}

ConnectionPool::Plan ConnectionPool::MakePlan(
  const std::map<std::string, std::size_t>& aWaitingUnits,
  const std::set<std::string>& aUsable,
  Instant aNow) const
{
  Plan plan;
  std::size_t openings = this
                           ->Select([](const PooledConnection& aConnection) {
                             return aConnection.phase == ConnectionPhase::Opening;
                           })
                           .size();
  std::size_t total = this->connections.size();
  std::set<ConnectionId> closing;
  const auto openFor = [&](const std::string& aSlot, std::size_t aCount, bool aMayReplace) {
    for (std::size_t opened = 0; opened < aCount && openings < kMaxConcurrentOpenings; ++opened) {
      if (!this->CanOpen(aSlot, aNow)) {
        return;
      }
      if (total >= this->limit) {
        // The last connection of a slot is closed only for a slot that has waiting units and no
        // connection. Otherwise two slots could take it from each other endlessly.
        const std::size_t kept = aWaitingUnits.contains(aSlot) && this->CountOn(aSlot) == 0 ? 0 : 1;
        const auto surplus =
          aMayReplace ? this->FindClosableConnection(aWaitingUnits, closing, kept) : std::nullopt;
        if (!surplus) {
          return;
        }
        closing.insert(*surplus);
        plan.close.push_back(*surplus);
        --total;
      }
      plan.open.push_back(aSlot);
      ++openings;
      ++total;
    }
  };
  for (const auto& [slot, count] : aWaitingUnits) {
    const std::size_t pending = this->CountIn(slot, ConnectionPhase::Opening);
    if (aUsable.contains(slot) && count > pending) {
      openFor(slot, count - pending, true);
    }
  }
  for (const std::string& slot : aUsable) {
    const std::size_t present = this->CountOn(slot);
    if (!aWaitingUnits.contains(slot) && present < kMinConnectionsPerSlot) {
      // A slot without a connection may replace a surplus connection of another slot.
      openFor(slot, present == 0 ? 1 : kMinConnectionsPerSlot - present, present == 0);
    }
  }
  for (const auto& [id, connection] : this->connections) {
    if (connection.phase == ConnectionPhase::Idle && aNow - connection.lastUsed > kIdleTimeout &&
        this->CountOn(connection.slot) > kMinConnectionsPerSlot && !closing.contains(id)) {
      plan.close.push_back(id);
      break;
    }
  }
  return plan;
}

} // namespace oleanderledge
