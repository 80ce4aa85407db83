#include "oleanderledge/transport/transport.hpp"
#include "tests/control/HttpTestClient.hpp"

#include <QTcpSocket>

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

HttpLimits LowLimits()
{
  HttpLimits limits;
  limits.connections = 2;
  limits.headBytes = 1024;
  limits.bodyBytes = 1000;
  limits.requestTime = std::chrono::milliseconds(300);
  limits.idleTime = std::chrono::milliseconds(300);
  return limits;
}

/// A server with low limits. GET /now is answered at once, and GET /later when a test does so.
struct HttpServerFixture : WithApplication
{
  HttpServerFixture()
    : budget(std::make_shared<ResourceBudget>(BudgetLimits{}))
    , server(std::make_shared<HttpClients>(LowLimits(), this->budget), nullptr)
  {
    this->server.AddRoute("GET", "/now", [](const HttpRequest&, const HttpReply& aReply) {
      aReply.Send(200, "text/plain", "now");
    });
    this->server.AddRoute("GET", "/later", [this](const HttpRequest&, const HttpReply& aReply) {
      this->pending.push_back(aReply);
    });
    this->server.AddRoute(
      "PUT", "/items/*", [](const HttpRequest& aRequest, const HttpReply& aReply) {
        aReply.Send(200, "text/plain", aRequest.body);
      });
    REQUIRE(this->server.Listen(this->address));
  }

  std::unique_ptr<QTcpSocket> Connect(const QByteArray& aText) const
  {
    auto socket = std::make_unique<QTcpSocket>();
    const auto [host, port] = SplitAddress(this->address);
    socket->connectToHost(QString::fromStdString(host), port);
    socket->write(aText);
    return socket;
  }
  /// Reads until the text ends like this.
  static bool Reads(QTcpSocket& aSocket, const QByteArray& aEnd)
  {
    QByteArray text;
    return WaitUntil([&] {
      text += aSocket.readAll();
      return text.endsWith(aEnd);
    });
  }
  static bool Closes(const QTcpSocket& aSocket)
  {
    return WaitUntil([&] { return aSocket.state() == QAbstractSocket::UnconnectedState; });
  }
  std::uint64_t ClosedFor(ClosingReason aReason) const
  {
    const auto counts = this->budget->ClosingCounts();
    const auto found = counts.find(aReason);
    return found == counts.end() ? 0 : found->second;
  }

  std::string address = FreeAddress();
  std::shared_ptr<ResourceBudget> budget;
  HttpServer server;
  std::vector<HttpReply> pending;
};

} // namespace

TEST_CASE_METHOD(HttpServerFixture, "Pipelined requests are answered in order", "[http]")
{
  const auto client = this->Connect("GET /later HTTP/1.1\r\n\r\nGET /now HTTP/1.1\r\n\r\n"
                                    "PUT /items/1 HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody");
  REQUIRE(WaitUntil([this] { return !this->pending.empty(); }));
  this->pending[0].Send(200, "text/plain", "later");
  QByteArray text;
  REQUIRE(WaitUntil([&] {
    text += client->readAll();
    return text.endsWith("body");
  }));
  CHECK(text.indexOf("later") < text.indexOf("now"));
  CHECK(text.count("HTTP/1.1 200") == 3);
}

TEST_CASE_METHOD(HttpServerFixture, "Requests without a route get the status 404", "[http]")
{
  HttpTestClient client;
  CHECK(client.Request(this->address, "/").status == 404);
  CHECK(client.Request(this->address, "/items/1").status == 404);
  CHECK(client.Put(this->address, "/items/1/2", "x") == 404);
  CHECK(client.Put(this->address, "/items/", "x") == 404);
  CHECK(client.Put(this->address, "/items/1", "x") == 200);
}

TEST_CASE_METHOD(HttpServerFixture, "An answer after the client has left is dropped", "[http]")
{
  auto client = this->Connect("GET /later HTTP/1.1\r\n\r\n");
  REQUIRE(WaitUntil([this] { return !this->pending.empty(); }));
  client->abort();
  REQUIRE(WaitUntil([this] { return this->budget->ConnectionCount() == 0; }));
  this->pending[0].Send(200, "text/plain", "later");
  HttpTestClient other;
  CHECK(other.Request(this->address, "/now").status == 200);
}

TEST_CASE_METHOD(HttpServerFixture, "A request over a limit is answered and closed", "[http]")
{
  const auto body = this->Connect("PUT /items/1 HTTP/1.1\r\nContent-Length: 1001\r\n\r\n");
  CHECK(Reads(*body, "HTTP/1.1 413 \r\nConnection: close\r\nContent-Length: 0\r\n\r\n"));
  CHECK(Closes(*body));
  const auto head = this->Connect("GET /" + QByteArray(2000, 'x'));
  CHECK(Closes(*head));
  const auto malformed = this->Connect("GARBAGE\r\n\r\n");
  CHECK(Closes(*malformed));
  CHECK(this->ClosedFor(ClosingReason::MessageTooLarge) == 2);
  CHECK(this->ClosedFor(ClosingReason::MalformedMessage) == 1);
}

TEST_CASE_METHOD(HttpServerFixture, "A client that stops in a request is closed", "[http]")
{
  const auto slow = this->Connect("GET /now HTT");
  CHECK(Closes(*slow));
  CHECK(this->ClosedFor(ClosingReason::MessageTime) == 1);
  const auto idle = this->Connect("GET /now HTTP/1.1\r\n\r\n");
  CHECK(Reads(*idle, "now"));
  CHECK(Closes(*idle));
  CHECK(this->ClosedFor(ClosingReason::MessageTime) == 1);
}

// Guards against clients that are locked out by others that hold connections without a request, and
// against requests that are cut off for new connections.
TEST_CASE_METHOD(HttpServerFixture, "At the limit the longest idle connection is closed", "[http]")
{
  const auto busy = this->Connect("GET /later HTTP/1.1\r\n\r\n");
  REQUIRE(WaitUntil([this] { return !this->pending.empty(); }));
  const auto idle = this->Connect("GET /now HTTP/1.1\r\n\r\n");
  REQUIRE(Reads(*idle, "now"));
  const auto added = this->Connect("GET /now HTTP/1.1\r\n\r\n");
  CHECK(Reads(*added, "now"));
  CHECK(Closes(*idle));
  this->pending[0].Send(200, "text/plain", "later");
  CHECK(Reads(*busy, "later"));
  CHECK(this->ClosedFor(ClosingReason::Connections) == 1);
}
