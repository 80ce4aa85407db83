#pragma once

#include "Announcer.hpp"
#include "ClientServer.hpp"
#include "Replication.hpp"
#include "ReplicationServer.hpp"
#include "SlotContext.hpp"

#include <QJsonObject>

#include <cstdint>

namespace oleanderledge::stand_in {

/// Parts of a slot's network that can be cut separately.
enum class CutScope : std::uint8_t
{
  All,
  Clients,
  Replication,
  Announcements,
};

/// One slot: a database server with its client port, replication and announcements.
class DatabaseSlot : public QObject
{
  Q_OBJECT

public:
  DatabaseSlot(SlotSettings aSettings, QObject* aParent);
  ~DatabaseSlot() override;
  DatabaseSlot(const DatabaseSlot&) = delete;
  DatabaseSlot& operator=(const DatabaseSlot&) = delete;

  /// Opens the ports. Returns false if one of them is in use.
  bool Start();

  SocketAddress ClientAddress() const { return this->clients.Address(); }
  SocketAddress ReplicationAddress() const { return this->replicationServer.Address(); }
  SlotContext& Context() { return this->context; }

  // --- Faults ---

  /// Stops all processing but keeps client connections open, like a process stopped by SIGSTOP.
  /// Replication connections are closed.
  void Freeze();
  /// Ends a freeze and heals all cuts. Has no effect if the slot is not frozen.
  void Thaw();
  /// Closes the connections of this scope and refuses new ones.
  void Cut(CutScope aScope);
  /// Ends all cuts. Has no effect while the slot is frozen.
  void Heal();
  void SetDeparting(bool aDeparting) { this->context.departing = aDeparting; }

  /// Role, term, positions and the rows of all tables of the committed database.
  QJsonObject Dump();

private:
  void RoleChanged();

  SlotContext context;
  ClientServer clients;
  ReplicationServer replicationServer;
  Replication replication;
  Announcer announcer;
  bool wasPrimary = false;
};

} // namespace oleanderledge::stand_in
