#include "AnnouncementSender.hpp"

namespace oleanderledge::stand_in {

namespace {

/// A connection is replaced if it is not established, or a request gets no response, within this
/// time.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(1000);

} // namespace

AnnouncementSender::AnnouncementSender(const std::string& aAddress, QObject* aParent)
  : QObject(aParent)
  , address(ParseAddress(aAddress))
{
  QObject::connect(&this->socket, &QTcpSocket::connected, this, [this] {
    this->socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    this->WritePost(std::exchange(this->queuedJson, {}));
  });
  QObject::connect(&this->socket, &QTcpSocket::readyRead, this, [this] {
    // The response is not parsed: any bytes show that the peer is alive.
    this->socket.readAll();
    this->awaitsResponse = false;
  });
}

void AnnouncementSender::Post(const QByteArray& aJson)
{
  switch (this->socket.state()) {
    case QAbstractSocket::ConnectedState:
      if (!this->awaitsResponse) {
        this->WritePost(aJson);
        return;
      }
      if (MonotonicNow() - this->sentAt > kResponseTimeout) {
        this->socket.abort();
        this->awaitsResponse = false;
      }
      return;
    case QAbstractSocket::UnconnectedState:
      this->awaitsResponse = false;
      this->queuedJson = aJson;
      this->sentAt = MonotonicNow();
      this->socket.connectToHost(this->address.host, this->address.port);
      return;
    default:
      this->queuedJson = aJson;
      if (MonotonicNow() - this->sentAt > kResponseTimeout) {
        this->socket.abort();
      }
      return;
  }
}

void AnnouncementSender::Stop()
{
  this->socket.abort();
  this->awaitsResponse = false;
}

void AnnouncementSender::WritePost(const QByteArray& aJson)
{
  this->awaitsResponse = true;
  this->sentAt = MonotonicNow();
  const std::string host = ToString(this->address);
  this->socket.write("POST /v1/announcements HTTP/1.1\r\nHost: " + QByteArray::fromStdString(host) +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     QByteArray::number(aJson.size()) + "\r\n\r\n" + aJson);
}

} // namespace oleanderledge::stand_in
