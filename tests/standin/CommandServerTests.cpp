#include "PgConnection.hpp"
#include "SlotGroup.hpp"

#include <QTcpSocket>

#include <catch2/catch.hpp>

using namespace oleanderledge::stand_in;

namespace {

/// Sends one request and returns the status code of the answer, or 0.
int Request(int aPort, const QByteArray& aMethod, const QByteArray& aPath)
{
  QTcpSocket socket;
  socket.connectToHost(QHostAddress::LocalHost, static_cast<quint16>(aPort));
  if (!socket.waitForConnected(2000)) {
    return 0;
  }
  socket.write(aMethod + " " + aPath +
               " HTTP/1.1\r\nHost: localhost\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  while (!socket.canReadLine() && socket.waitForReadyRead(2000)) {
  }
  const QList<QByteArray> words = socket.readLine().split(' ');
  return words.size() > 1 ? words[1].toInt() : 0;
}

} // namespace

TEST_CASE("Commands over HTTP reach the slot")
{
  SlotGroup group(1);
  const int port = group.HttpPort(0);
  CHECK(Request(port, "POST", "/lag?receive_ms=30&apply_ms=40") == 200);
  CHECK(Request(port, "POST", "/service?ms=2.5") == 200);
  CHECK(Request(port, "POST", "/depart") == 200);
  group.On(0, [](DatabaseSlot& aSlot) {
    CHECK(aSlot.Context().settings.receiveLagMs == 30);
    CHECK(aSlot.Context().settings.applyLagMs == 40);
    CHECK(aSlot.Context().settings.serviceMs == 2.5);
    CHECK(aSlot.Context().departing);
  });
  CHECK(Request(port, "GET", "/dump") == 200);
  CHECK(Request(port, "POST", "/cut?scope=clients") == 200);
  CHECK_FALSE(PgConnection(group.ClientPort(0)).IsOpen());
  CHECK(Request(port, "POST", "/heal") == 200);
  CHECK(PgConnection(group.ClientPort(0)).IsOpen());
  CHECK(Request(port, "POST", "/freeze") == 200);
  CHECK(Request(port, "POST", "/thaw") == 200);
}

TEST_CASE("Commands with invalid values are rejected")
{
  const SlotGroup group(1);
  CHECK(Request(group.HttpPort(0), "POST", "/cut?scope=everything") == 400);
  CHECK(Request(group.HttpPort(0), "POST", "/service?ms=fast") == 400);
  CHECK(Request(group.HttpPort(0), "POST", "/lag?apply_ms=-1") == 400);
  CHECK(Request(group.HttpPort(0), "GET", "/nothing") == 404);
}
