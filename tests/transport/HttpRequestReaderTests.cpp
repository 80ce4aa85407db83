#include "oleanderledge/transport/HttpRequestReader.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace oleanderledge;

namespace {

constexpr std::size_t kHead = 256;
constexpr std::size_t kBody = 64;

HttpReadError ErrorOf(const std::string& aText)
{
  HttpRequestReader reader(kHead, kBody);
  reader.Feed(aText);
  return reader.ReadError();
}

/// The request that the text consists of.
HttpRequest Read(const std::string& aText)
{
  HttpRequestReader reader(kHead, kBody);
  REQUIRE(reader.Feed(aText) == aText.size());
  REQUIRE(reader.IsComplete());
  return reader.Take();
}

} // namespace

TEST_CASE("A request is read with its path, query, headers and body", "[http]")
{
  const HttpRequest request =
    Read("PUT /a%20b?version=3 HTTP/1.1\r\nhost: x\r\nContent-Length: 5\r\n\r\nhello");
  CHECK(request.method == "PUT");
  CHECK(request.url.path() == "/a b");
  CHECK(request.url.query() == "version=3");
  CHECK(request.Header("Host") == "x");
  CHECK(request.body == "hello");
  CHECK(request.keepsConnection);
}

TEST_CASE("A body of chunks is put together", "[http]")
{
  const HttpRequest request = Read("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                   "3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\nTrailer: z\r\n\r\n");
  CHECK(request.body == "abc0123456789");
}

TEST_CASE("Bytes after a request belong to the next one", "[http]")
{
  const std::string first = "GET /1 HTTP/1.1\r\n\r\n";
  const std::string second = "GET /2 HTTP/1.0\r\n\r\n";
  HttpRequestReader reader(kHead, kBody);
  CHECK(reader.Feed(first + second) == first.size());
  CHECK(reader.Take().url.path() == "/1");
  CHECK_FALSE(reader.IsBegun());
  CHECK(reader.Feed(second) == second.size());
  const HttpRequest request = reader.Take();
  CHECK(request.url.path() == "/2");
  CHECK_FALSE(request.keepsConnection);
}

TEST_CASE("A request is the same whatever pieces it arrives in", "[http]")
{
  const std::string text = "POST /x HTTP/1.1\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
  HttpRequestReader reader(kHead, kBody);
  for (const char each : text) {
    REQUIRE_FALSE(reader.IsComplete());
    REQUIRE(reader.Feed(std::string_view(&each, 1)) == 1);
  }
  REQUIRE(reader.IsComplete());
  CHECK(reader.Take().body == "abc");
}

// Guards against requests that are collected without a bound.
TEST_CASE("A request over a limit cannot be read", "[http]")
{
  const std::string start = "PUT / HTTP/1.1\r\n";
  CHECK(ErrorOf(start + "X: " + std::string(kHead, 'x')) == HttpReadError::HeadTooLong);
  std::string headers;
  while (headers.size() < kHead) {
    headers += "a: b\r\n";
  }
  CHECK(ErrorOf(start + headers) == HttpReadError::HeadTooLong);
  CHECK(ErrorOf(std::string(kHead + 1, 'G')) == HttpReadError::HeadTooLong);
  CHECK(ErrorOf(start + "Content-Length: 64\r\n\r\n") == HttpReadError::None);
  CHECK(ErrorOf(start + "Content-Length: 65\r\n\r\n") == HttpReadError::BodyTooLong);
  const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
  CHECK(ErrorOf(chunked + "41\r\n") == HttpReadError::BodyTooLong);
  CHECK(ErrorOf(chunked + "40\r\n" + std::string(64, 'x') + "\r\n1\r\n") ==
        HttpReadError::BodyTooLong);
  CHECK(ErrorOf(chunked + "ffffffffffffffff\r\n") == HttpReadError::BodyTooLong);
  CHECK(ErrorOf(chunked + "1;" + std::string(kHead, 'x')) == HttpReadError::Malformed);
  CHECK(ErrorOf(chunked + "0\r\n" + headers) == HttpReadError::HeadTooLong);
}

// Guards against requests whose end another reader would see elsewhere.
TEST_CASE("An ambiguous request cannot be read", "[http]")
{
  const std::string start = "PUT / HTTP/1.1\r\n";
  for (const std::string headers : { "Content-Length: -1",
                                     "Content-Length: +1",
                                     "Content-Length: 1x",
                                     "Content-Length:",
                                     "Content-Length: 99999999999999999999",
                                     "Content-Length: 1\r\nContent-Length: 1",
                                     "Content-Length: 1\r\nTransfer-Encoding: chunked",
                                     "Transfer-Encoding: gzip, chunked",
                                     "Content-Length : 1",
                                     " Content-Length: 1",
                                     "no colon" }) {
    CAPTURE(headers);
    CHECK(ErrorOf(start + headers + "\r\n\r\n") == HttpReadError::Malformed);
  }
  for (const std::string line :
       { "GARBAGE", "GET /", "GET / HTTP/2", "GET / x HTTP/1.1", "G(T / HTTP/1.1" }) {
    CAPTURE(line);
    CHECK(ErrorOf(line + "\r\n\r\n") == HttpReadError::Malformed);
  }
  CHECK(ErrorOf(start + "Transfer-Encoding: chunked\r\n\r\nx\r\n") == HttpReadError::Malformed);
  CHECK(ErrorOf(start + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n") ==
        HttpReadError::Malformed);
}

TEST_CASE("A client that waits before it sends the body is told once", "[http]")
{
  HttpRequestReader reader(kHead, kBody);
  reader.Feed("PUT / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n");
  CHECK_FALSE(reader.TakeContinueRequest());
  reader.Feed("\r\n");
  CHECK(reader.TakeContinueRequest());
  CHECK_FALSE(reader.TakeContinueRequest());
}
