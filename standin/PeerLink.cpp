#include "PeerLink.hpp"

namespace oleanderledge::stand_in {

namespace {

constexpr int kRetryIntervalMs = 100;

} // namespace

PeerLink::PeerLink(const std::string& aAddress, QObject* aParent)
  : QObject(aParent)
  , address(ParseAddress(aAddress))
{
  this->retryTimer.setSingleShot(true);
  QObject::connect(&this->retryTimer, &QTimer::timeout, this, &PeerLink::Connect);
}

void PeerLink::Start()
{
  this->Connect();
}

void PeerLink::Stop()
{
  this->retryTimer.stop();
  this->Drop();
}

void PeerLink::Send(const QJsonObject& aMessage)
{
  if (this->connection != nullptr) {
    this->connection->Send(aMessage);
  }
}

void PeerLink::Connect()
{
  if (this->connection != nullptr) {
    return;
  }
  auto* socket = new QTcpSocket;
  this->connection = new JsonSocket(socket, this);
  QObject::connect(this->connection, &JsonSocket::Received, this, &PeerLink::HandleMessage);
  QObject::connect(this->connection, &JsonSocket::Closed, this, [this] {
    this->Drop();
    this->retryTimer.start(kRetryIntervalMs);
    Q_EMIT this->StatusChanged();
  });
  socket->connectToHost(this->address.host, this->address.port);
}

void PeerLink::Drop()
{
  this->status = {};
  if (this->connection != nullptr) {
    this->connection->Abort();
    this->connection->deleteLater();
    this->connection = nullptr;
  }
}

void PeerLink::HandleMessage(const QJsonObject& aMessage)
{
  if (aMessage["type"].toString() != "status") {
    Q_EMIT this->Received(aMessage);
    return;
  }
  this->status.known = true;
  this->status.primary = aMessage["role"].toString() == "primary";
  this->status.term = static_cast<std::uint64_t>(aMessage["term"].toInteger());
  this->status.received = static_cast<std::uint64_t>(aMessage["received"].toInteger());
  Q_EMIT this->StatusChanged();
}

} // namespace oleanderledge::stand_in
