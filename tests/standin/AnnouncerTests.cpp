#include "SlotGroup.hpp"

#include <QJsonDocument>
#include <QTcpServer>
#include <QTcpSocket>

#include <catch2/catch.hpp>

using namespace oleanderledge::stand_in;

namespace {

/// HTTP server that accepts one connection, reads posts from it and responds to each.
class AnnouncementReceiver
{
public:
  AnnouncementReceiver() { this->server.listen(QHostAddress::LocalHost, 0); }

  std::string Address() const { return "127.0.0.1:" + std::to_string(this->server.serverPort()); }

  /// The body of the next post; empty if none arrives within a second.
  QJsonObject Next()
  {
    if (this->socket == nullptr) {
      this->server.waitForNewConnection(1000);
      this->socket = this->server.nextPendingConnection();
    }
    while (this->socket != nullptr) {
      const qsizetype headEnd = this->buffer.indexOf("\r\n\r\n");
      const qsizetype lengthAt = this->buffer.indexOf("Content-Length: ") + 16;
      const qsizetype length =
        this->buffer.mid(lengthAt, this->buffer.indexOf("\r\n", lengthAt) - lengthAt).toInt();
      if (headEnd >= 0 && this->buffer.size() >= headEnd + 4 + length) {
        this->requestLine = this->buffer.left(this->buffer.indexOf("\r\n"));
        const QByteArray body = this->buffer.mid(headEnd + 4, length);
        this->buffer.remove(0, headEnd + 4 + length);
        this->socket->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        this->socket->flush();
        return QJsonDocument::fromJson(body).object();
      }
      if (!this->socket->waitForReadyRead(1000)) {
        break;
      }
      this->buffer += this->socket->readAll();
    }
    return {};
  }

  QByteArray requestLine;

private:
  QTcpServer server;
  QTcpSocket* socket = nullptr;
  QByteArray buffer;
};

} // namespace

TEST_CASE("Announcements contain the slot and increasing sequence numbers")
{
  AnnouncementReceiver receiver;
  SlotGroup group(1, [&](SlotSettings& aSettings) {
    aSettings.announce = { receiver.Address() };
    aSettings.announceIntervalMs = 20;
  });
  QJsonObject first = receiver.Next();
  CHECK(receiver.requestLine == "POST /v1/announcements HTTP/1.1");
  // The first announcement can be sent before the slot has become primary.
  first = receiver.Next();
  CHECK(first["service"].toString() == "orders");
  CHECK(first["database"].toString() == "orders-1");
  CHECK(first["slot"].toString() == "a");
  CHECK(first["zone"].toString() == "dalarna/mora-1");
  CHECK(first["address"].toString().toStdString() ==
        "127.0.0.1:" + std::to_string(group.ClientPort(0)));
  CHECK(first["role"].toString() == "primary");
  CHECK(first["term"].toInteger() == 1);
  CHECK(first["received"].toInteger() == 1);
  CHECK(first["applied"].toInteger() == 1);
  CHECK(first["connection_limit"].toInteger() == 25);
  CHECK(first["departing"].toBool(true) == false);
  CHECK(first["incarnation"].toInteger() > 0);
  group.On(0, [](DatabaseSlot& aSlot) { aSlot.SetDeparting(true); });
  receiver.Next(); // Discards an announcement that was already in flight.
  const QJsonObject second = receiver.Next();
  CHECK(second["departing"].toBool());
  CHECK(second["incarnation"] == first["incarnation"]);
  CHECK(second["sequence"].toInteger() > first["sequence"].toInteger());
}

TEST_CASE("A frozen slot sends no announcements")
{
  AnnouncementReceiver receiver;
  SlotGroup group(1, [&](SlotSettings& aSettings) {
    aSettings.announce = { receiver.Address() };
    aSettings.announceIntervalMs = 20;
  });
  REQUIRE_FALSE(receiver.Next().isEmpty());
  group.On(0, [](DatabaseSlot& aSlot) { aSlot.Freeze(); });
  receiver.Next(); // Discards an announcement that was already in flight.
  CHECK(receiver.Next().isEmpty());
}
