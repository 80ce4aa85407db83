#pragma once

#include "oleanderledge/statements/internal/BackendConnection.hpp"

#include <QTcpSocket>
#include <QTimer>

#include <memory>

namespace oleanderledge {

/// A direct connection of this proxy to a backend server.
class SocketConnection : public BackendConnection
{
  Q_OBJECT

public:
  SocketConnection(const StatementProtocol& aProtocol, std::string aBackend, QObject* aParent);
  ~SocketConnection() override;

  /// Connects to "ip:port" and sends the start-up for a service. `Opened` or `Closed` follows.
  /// Opens it for the member `organisation`.
  void Open(const std::string& aAddress, std::string_view aService);

  bool IsRelayed() const override { return false; }

private:
  void Send(const std::string& aRequest) override;
  void CloseTransport() override;
  void ReadAvailable();
  bool HandleAnswer(BackendAnswer aAnswer);

  const StatementProtocol& protocol;
  QTcpSocket socket;
  QTimer openTimer;
  std::unique_ptr<BackendDecoder> decoder;
  std::string startUp;
};

} // namespace oleanderledge
