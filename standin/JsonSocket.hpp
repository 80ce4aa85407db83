#pragma once

#include <QJsonObject>
#include <QObject>
#include <QTcpSocket>

namespace oleanderledge::stand_in {

/// Exchanges newline-delimited JSON objects over a TCP socket.
class JsonSocket : public QObject
{
  Q_OBJECT

public:
  /// Takes over a socket, connected or connecting.
  JsonSocket(QTcpSocket* aSocket, QObject* aParent);

  void Send(const QJsonObject& aMessage);
  bool IsConnected() const { return this->socket->state() == QAbstractSocket::ConnectedState; }

  /// Closes the connection without emitting Closed().
  void Abort();

Q_SIGNALS:
  void Connected();
  /// Emitted for each line. A line that is not a JSON object gives an empty object.
  void Received(const QJsonObject& aMessage);
  /// The connection failed or was closed by the peer. Emitted at most once.
  void Closed();

private:
  void ReadLines();
  void HandleClosed();

  QTcpSocket* socket;
  bool closed = false;
};

} // namespace oleanderledge::stand_in
