// Crowds at the HTTP ports of a control instance and a proxy. Each checks that both processes live
// within their memory and descriptors, and serve ordinary requests afterwards.

#include "tests/crowd/PortFleet.hpp"
#include "tests/crowd/RawCrowd.hpp"

#include <catch2/catch.hpp>

#include <memory>

using namespace oleanderledge::test;

namespace {

constexpr std::size_t kMebibyte = std::size_t{ 1024 } * 1024;

using Crowds = std::vector<std::unique_ptr<RawCrowd>>;

/// Runs a crowd at each HTTP port, one after the other. All connections stay open.
template<class MakeStream>
Crowds CrowdAtEachPort(const PortFleet& aFleet, std::size_t aCount, const MakeStream& aMakeStream)
{
  Crowds crowds;
  for (const PortFleet::HttpPort& port : aFleet.HttpPorts()) {
    crowds.push_back(std::make_unique<RawCrowd>(port.address, aCount));
    crowds.back()->Send(aMakeStream(port));
  }
  return crowds;
}

std::string Head(const PortFleet::HttpPort& aPort)
{
  return aPort.method + " " + aPort.path + " HTTP/1.1\r\nHost: crowd\r\n";
}

std::string Repeat(const std::string& aText, std::size_t aBytes)
{
  std::string repeated;
  while (repeated.size() < aBytes) {
    repeated += aText;
  }
  return repeated;
}

} // namespace

// Guards against bodies that are held although they are far larger than any request.
TEST_CASE_METHOD(PortFleet, "HTTP bodies without end", "[http_bodies]")
{
  const Crowds crowds = CrowdAtEachPort(*this, 24, [](const HttpPort& aPort) {
    std::string opening = Head(aPort) + "Content-Length: 1000000000000\r\n\r\n";
    return RawCrowd::Stream{ [opening](std::size_t) { return opening; },
                             std::string(65536, ' '),
                             6 * kMebibyte };
  });
  this->CheckBounds();
  this->CheckService();
}

// Guards against bodies without a stated length, which no check of that length can reject.
TEST_CASE_METHOD(PortFleet, "HTTP bodies of chunks without end", "[http_chunks]")
{
  const Crowds crowds = CrowdAtEachPort(*this, 24, [](const HttpPort& aPort) {
    std::string opening = Head(aPort) + "Transfer-Encoding: chunked\r\n\r\n";
    return RawCrowd::Stream{ [opening](std::size_t) { return opening; },
                             "1000\r\n" + std::string(4096, ' ') + "\r\n",
                             6 * kMebibyte };
  });
  this->CheckBounds();
  this->CheckService();
}

// Guards against chunks of one byte, for each of which a parser may allocate far more.
TEST_CASE_METHOD(PortFleet, "HTTP bodies of tiny chunks", "[http_tiny_chunks]")
{
  const Crowds crowds = CrowdAtEachPort(*this, 24, [](const HttpPort& aPort) {
    std::string opening = Head(aPort) + "Transfer-Encoding: chunked\r\n\r\n";
    return RawCrowd::Stream{ [opening](std::size_t) { return opening; },
                             Repeat("1\r\n \r\n", 6000),
                             2 * kMebibyte };
  });
  this->CheckBounds();
  this->CheckService();
}

// Guards against a header line that is collected until its end.
TEST_CASE_METHOD(PortFleet, "An HTTP header without end", "[http_header]")
{
  const Crowds crowds = CrowdAtEachPort(*this, 24, [](const HttpPort& aPort) {
    std::string opening = Head(aPort) + "X-Long: ";
    return RawCrowd::Stream{ [opening](std::size_t) { return opening; },
                             std::string(65536, 'x'),
                             4 * kMebibyte };
  });
  this->CheckBounds();
  this->CheckService();
}

// Guards against many short headers, for each of which a parser may allocate far more.
TEST_CASE_METHOD(PortFleet, "HTTP headers without end", "[http_headers]")
{
  const Crowds crowds = CrowdAtEachPort(*this, 24, [](const HttpPort& aPort) {
    std::string opening = Head(aPort);
    return RawCrowd::Stream{ [opening](std::size_t) { return opening; },
                             Repeat("a: b\r\n", 6000),
                             2 * kMebibyte };
  });
  this->CheckBounds();
  this->CheckService();
}

// Guards against descriptors that are taken by clients that send half a request, or nothing.
TEST_CASE_METHOD(PortFleet, "HTTP connections without a whole request", "[http_connections]")
{
  const Crowds crowds = CrowdAtEachPort(*this, 200, [](const HttpPort& aPort) {
    std::string opening = Head(aPort);
    return RawCrowd::Stream{ [opening](std::size_t aConnection) {
                              return aConnection % 2 == 0 ? opening : std::string("G");
                            },
                             "",
                             1 };
  });
  this->CheckBounds();
  this->CheckService();
}

// Guards against descriptors that are taken by clients that keep a connection after a request.
TEST_CASE_METHOD(PortFleet, "HTTP connections that are kept open", "[http_kept_connections]")
{
  const Crowds crowds = CrowdAtEachPort(*this, 200, [](const HttpPort& aPort) {
    std::string opening = "GET " + aPort.path + " HTTP/1.1\r\nHost: crowd\r\n\r\n";
    return RawCrowd::Stream{ [opening](std::size_t) { return opening; }, "", opening.size() };
  });
  this->CheckBounds();
  this->CheckService();
}

// Guards against answers that are held for clients that do not read them: a stored configuration of
// 1 MiB and the metrics.
TEST_CASE_METHOD(PortFleet, "HTTP answers that are not read", "[http_unread]")
{
  REQUIRE(this->PutConfiguration(Configuration(2) + std::string(kMebibyte, ' ')) == 200);
  const std::string read = "GET /api/configuration HTTP/1.1\r\nHost: crowd\r\n\r\n";
  RawCrowd readers(this->controlPlane, 30);
  readers.Send({ nullptr, read, 20 * read.size(), read.size() });
  Crowds crowds;
  const std::string metrics = "GET /metrics HTTP/1.1\r\nHost: crowd\r\n\r\n";
  for (const std::string& address : { this->controlHttp, this->proxyHttp }) {
    crowds.push_back(std::make_unique<RawCrowd>(address, 40));
    crowds.back()->Send({ nullptr, metrics, 2'000 * metrics.size(), metrics.size() });
  }
  this->CheckBounds();
  this->CheckService();
}

// Guards against requests that are pipelined without waiting for answers.
TEST_CASE_METHOD(PortFleet, "Pipelined HTTP requests", "[http_pipelined]")
{
  const std::string metrics =
    Repeat("GET /metrics HTTP/1.1\r\nHost: crowd\r\n\r\n", std::size_t{ 64 } * 1024);
  Crowds crowds;
  for (const std::string& address : { this->controlHttp, this->proxyHttp }) {
    crowds.push_back(std::make_unique<RawCrowd>(address, 40));
    crowds.back()->Send({ nullptr, metrics, 12 * kMebibyte });
  }
  this->CheckBounds();
  this->CheckService();
}

// Guards against many large configurations at once, which are held as body, as rows and in the
// replicated log.
TEST_CASE_METHOD(PortFleet, "Large configurations at once", "[http_configurations]")
{
  constexpr std::size_t kCount = 60;
  constexpr std::size_t kBytes = 3 * kMebibyte;
  RawCrowd crowd(this->controlPlane, kCount);
  const auto request = [](std::size_t aConnection) {
    std::string body = Configuration(10 + aConnection);
    body.append(kBytes - body.size(), ' ');
    return HttpRequestText("PUT", "/api/configuration", body);
  };
  crowd.Send({ request, "", request(0).size() });
  this->CheckBounds();
  this->CheckService();
}
