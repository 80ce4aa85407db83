#include "AnnouncementSender.hpp"

namespace oleanderledge::stand_in {

namespace {

/// A connection without an answer for this time is replaced.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(1000);

} // namespace

AnnouncementSender::AnnouncementSender(const std::string& aAddress, QObject* aParent)
  : QObject(aParent)
  , address(ParseAddress(aAddress))
{
  QObject::connect(&this->socket, &QTcpSocket::connected, this, [this] {
    this->socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    this->WritePost(std::exchange(this->waiting, {}));
  });
  QObject::connect(&this->socket, &QTcpSocket::readyRead, this, [this] {
    // The answer does not matter; any bytes mean that the peer is alive.
    this->socket.readAll();
    this->awaitsAnswer = false;
  });
}

void AnnouncementSender::Post(const QByteArray& aJson)
{
  switch (this->socket.state()) {
    case QAbstractSocket::ConnectedState:
      if (!this->awaitsAnswer) {
        this->WritePost(aJson);
        return;
      }
      if (MonotonicNow() - this->sentAt > kAnswerTimeout) {
        this->socket.abort();
        this->awaitsAnswer = false;
      }
      return;
    case QAbstractSocket::UnconnectedState:
      this->awaitsAnswer = false;
      this->waiting = aJson;
      this->sentAt = MonotonicNow();
      this->socket.connectToHost(this->address.host, this->address.port);
      return;
    default:
      this->waiting = aJson;
      if (MonotonicNow() - this->sentAt > kAnswerTimeout) {
        this->socket.abort();
      }
      return;
  }
}

void AnnouncementSender::Stop()
{
  this->socket.abort();
  this->awaitsAnswer = false;
}

void AnnouncementSender::WritePost(const QByteArray& aJson)
{
  this->awaitsAnswer = true;
  this->sentAt = MonotonicNow();
  const std::string host = ToString(this->address);
  this->socket.write("POST /v1/announcements HTTP/1.1\r\nHost: " + QByteArray::fromStdString(host) +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     QByteArray::number(aJson.size()) + "\r\n\r\n" + aJson);
}

} // namespace oleanderledge::stand_in
