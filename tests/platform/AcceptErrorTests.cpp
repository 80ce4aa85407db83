#include "oleanderledge/platform/ReadinessServer.hpp"
#include "tests/control/HttpTestClient.hpp"

#include <catch2/catch.hpp>

#include <QEventLoop>
#include <QTcpSocket>
#include <QTimer>

#include <unistd.h>

#include <vector>

using namespace oleanderledge;

// Guards against an HTTP port that accepts no more connections once the process ran out of
// descriptors.
TEST_CASE_METHOD(WithApplication, "HTTP connections are accepted again after descriptors ran out")
{
  platform::ReadinessServer server([] { return true; }, nullptr);
  const std::string address = FreeAddress();
  REQUIRE(server.Listen(address));
  HttpTestClient client;
  REQUIRE(client.Request(address, "/api/readiness").status == 200);
  std::vector<int> descriptors;
  for (int each = dup(0); each >= 0; each = dup(0)) {
    descriptors.push_back(each);
  }
  REQUIRE(!descriptors.empty());
  close(descriptors.back());
  descriptors.pop_back();
  // Takes the only free descriptor, so that none is left for the accepting side.
  QTcpSocket early;
  const auto port = static_cast<quint16>(std::stoi(address.substr(address.find(':') + 1)));
  early.connectToHost(QHostAddress::LocalHost, port);
  for (int each = dup(0); each >= 0; each = dup(0)) {
    descriptors.push_back(each);
  }
  const bool isConnected =
    WaitUntil([&early] { return early.state() == QAbstractSocket::ConnectedState; });
  QEventLoop loop;
  QTimer::singleShot(200, &loop, &QEventLoop::quit);
  loop.exec();
  const int unused = dup(0);
  for (const int each : descriptors) {
    close(each);
  }
  REQUIRE(unused < 0);
  REQUIRE(isConnected);
  HttpTestClient later;
  CHECK(later.Request(address, "/api/readiness").status == 200);
}
