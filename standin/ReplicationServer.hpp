#pragma once

#include "JsonSocket.hpp"
#include "SlotContext.hpp"
#include "SocketAddress.hpp"

#include <QTcpServer>
#include <QTimer>

#include <map>

namespace oleanderledge::stand_in {

/// Accepts the replication connections of the peers of one slot. Reports the status of the
/// slot to all of them and sends its log to those that follow it.
class ReplicationServer : public QObject
{
  Q_OBJECT

public:
  ReplicationServer(SlotContext& aContext, QObject* aParent);

  /// Opens the port, or opens it again after Stop(). Returns false if the port is in use.
  bool Listen();
  SocketAddress Address() const { return this->address; }

  /// Closes the port and drops all connections.
  void Stop();

private:
  struct Follower
  {
    bool following = false;
  };

  void AcceptPending();
  void HandleMessage(JsonSocket* aPeer, const QJsonObject& aMessage);
  void SendStatusToAll();
  void SendRecord(const LogRecord& aRecord);
  QJsonObject StatusMessage() const;

  SlotContext& context;
  QTcpServer server;
  SocketAddress address;
  std::map<JsonSocket*, Follower> followers;
  QTimer statusTimer;
};

} // namespace oleanderledge::stand_in
