#pragma once

#include "tests/owner/FakeGroup.hpp"

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <memory>
#include <string>

namespace oleanderledge {

/// Serves one slot of a FakeGroup on a loopback port.
class FakeServer : public QObject
{
public:
  FakeServer(FakeGroup& aGroup, std::string aSlot)
    : group(aGroup)
    , slot(std::move(aSlot))
  {
    this->server.listen(QHostAddress::LocalHost, 0);
    QObject::connect(&this->server, &QTcpServer::newConnection, this, [this] {
      while (QTcpSocket* socket = this->server.nextPendingConnection()) {
        this->Accept(socket);
      }
    });
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(this->server.serverPort()); }

  /// Aborts all connections and refuses new ones.
  void Stop()
  {
    this->server.close();
    for (QTcpSocket* socket : this->server.findChildren<QTcpSocket*>()) {
      socket->abort();
    }
  }

private:
  void Accept(QTcpSocket* aSocket)
  {
    static ConnectionId lastId = 0;
    const ConnectionId id = ++lastId;
    auto reader = std::make_shared<MessageReader>(std::size_t{ 1024 } * 1024);
    auto started = std::make_shared<bool>(false);
    QObject::connect(aSocket, &QTcpSocket::readyRead, this, [this, aSocket, id, reader, started] {
      const QByteArray bytes = aSocket->readAll();
      reader->Feed({ bytes.constData(), static_cast<std::size_t>(bytes.size()) });
      if (!*started) {
        const auto packet = reader->NextUntyped();
        if (!packet || !packet.value()) {
          return;
        }
        *started = true;
        this->group.Open(id, this->slot);
        Write(aSocket,
              BuildAuthenticationOk() + BuildBackendKeyData(static_cast<std::uint32_t>(id), 7) +
                BuildReadyForQuery('I'));
      }
      for (auto next = reader->NextTyped(); next && next.value(); next = reader->NextTyped()) {
        this->group.Receive(id, *next.value());
        this->group.ExecuteNext(id);
        auto& outbox = this->group.connections.at(id).outbox;
        for (; !outbox.empty(); outbox.pop_front()) {
          Write(aSocket, outbox.front());
        }
      }
    });
    QObject::connect(aSocket, &QTcpSocket::disconnected, aSocket, &QObject::deleteLater);
  }

  static void Write(QTcpSocket* aSocket, const std::string& aBytes)
  {
    aSocket->write(aBytes.data(), static_cast<qint64>(aBytes.size()));
  }

  FakeGroup& group;
  std::string slot;
  QTcpServer server;
};

} // namespace oleanderledge
