#pragma once

#include "JsonSocket.hpp"
#include "SocketAddress.hpp"

#include <QTimer>

#include <cstdint>
#include <string>

namespace oleanderledge::stand_in {

/// The status that a peer last reported.
struct PeerStatus
{
  bool known = false; ///< The peer is connected and has reported its status.
  bool primary = false;
  std::uint64_t term = 0;
  std::uint64_t received = 0; ///< Position of the last record in the log of the peer.
};

/// The outgoing replication connection to one peer of the group. Reconnects until it is stopped.
class PeerLink : public QObject
{
  Q_OBJECT

public:
  PeerLink(const std::string& aAddress, QObject* aParent);

  void Start();
  void Stop();
  void Send(const QJsonObject& aMessage);
  const PeerStatus& Status() const { return this->status; }

Q_SIGNALS:
  void StatusChanged();
  /// A message other than a status.
  void Received(const QJsonObject& aMessage);

private:
  void Connect();
  void Drop();
  void HandleMessage(const QJsonObject& aMessage);

  SocketAddress address;
  JsonSocket* connection = nullptr;
  PeerStatus status;
  QTimer retryTimer;
};

} // namespace oleanderledge::stand_in
