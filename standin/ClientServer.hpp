#pragma once

#include "ClientSession.hpp"
#include "SlotContext.hpp"
#include "SocketAddress.hpp"

#include <QTcpServer>

#include <cstdint>
#include <vector>

namespace oleanderledge::stand_in {

/// Accepts the client connections of one slot.
class ClientServer : public QObject
{
  Q_OBJECT

public:
  ClientServer(SlotContext& aContext, QObject* aParent);

  /// Opens the port, or opens it again after Stop(). Returns false if the port is in use.
  bool Listen();
  SocketAddress Address() const { return this->address; }

  /// Closes the port and drops all connections.
  void Stop();

  /// Sends a fatal error to all sessions and closes them.
  void CloseSessions(std::string_view aSqlstate, std::string_view aMessage);

  /// Resumes all sessions after a freeze of the slot.
  void Thaw();

  /// Cancels the running statement of the session with this cancel key, if there is such a session.
  void Cancel(std::uint32_t aProcessId, std::uint32_t aSecret);

  int ConnectionCount() const;
  std::uint32_t AssignProcessId() { return this->nextProcessId++; }

private:
  void AcceptPending();

  SlotContext& context;
  QTcpServer server;
  SocketAddress address;
  std::vector<ClientSession*> sessions;
  std::uint32_t nextProcessId = 1;
};

} // namespace oleanderledge::stand_in
