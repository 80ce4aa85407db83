#include "JsonSocket.hpp"

#include <QJsonDocument>

namespace oleanderledge::stand_in {

JsonSocket::JsonSocket(QTcpSocket* aSocket, QObject* aParent)
  : QObject(aParent)
  , socket(aSocket)
{
  this->socket->setParent(this);
  this->socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  QObject::connect(this->socket, &QTcpSocket::connected, this, &JsonSocket::Connected);
  QObject::connect(this->socket, &QTcpSocket::readyRead, this, &JsonSocket::ReadLines);
  QObject::connect(this->socket, &QTcpSocket::disconnected, this, &JsonSocket::HandleClosed);
  QObject::connect(this->socket, &QTcpSocket::errorOccurred, this, &JsonSocket::HandleClosed);
}

void JsonSocket::Send(const QJsonObject& aMessage)
{
  if (!this->closed && this->IsConnected()) {
    this->socket->write(QJsonDocument(aMessage).toJson(QJsonDocument::Compact) + '\n');
  }
}

void JsonSocket::Abort()
{
  this->closed = true;
  this->socket->abort();
}

void JsonSocket::ReadLines()
{
  while (!this->closed && this->socket->canReadLine()) {
    Q_EMIT this->Received(QJsonDocument::fromJson(this->socket->readLine()).object());
  }
}

void JsonSocket::HandleClosed()
{
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->socket->abort();
  Q_EMIT this->Closed();
}

} // namespace oleanderledge::stand_in
