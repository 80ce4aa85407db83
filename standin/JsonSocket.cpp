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
  QObject::connect(this->socket, &QTcpSocket::disconnected, this, &JsonSocket::Finish);
  QObject::connect(this->socket, &QTcpSocket::errorOccurred, this, &JsonSocket::Finish);
}

void JsonSocket::Send(const QJsonObject& aMessage)
{
  if (!this->finished && this->IsConnected()) {
    this->socket->write(QJsonDocument(aMessage).toJson(QJsonDocument::Compact) + '\n');
  }
}

void JsonSocket::Abort()
{
  this->finished = true;
  this->socket->abort();
}

void JsonSocket::ReadLines()
{
  while (!this->finished && this->socket->canReadLine()) {
    Q_EMIT this->Received(QJsonDocument::fromJson(this->socket->readLine()).object());
  }
}

void JsonSocket::Finish()
{
  if (this->finished) {
    return;
  }
  this->finished = true;
  this->socket->abort();
  Q_EMIT this->Closed();
}

} // namespace oleanderledge::stand_in
