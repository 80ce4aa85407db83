#pragma once

#include <QByteArray>
#include <QList>
#include <QPair>
#include <QUrl>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace oleanderledge {

/// One HTTP request.
struct HttpRequest
{
  std::string method; ///< As sent, for example "GET".
  QUrl url;           ///< Path and query.
  QList<QPair<QByteArray, QByteArray>> headers;
  QByteArray body;
  bool keepsConnection = true; ///< The client may send another request on the connection.

  /// Value of a header whose name is compared without regard to case; empty if it is missing.
  QByteArray Header(const QByteArray& aName) const;
};

/// Why a request cannot be read.
enum class HttpReadError : std::uint8_t
{
  None,
  Malformed,   ///< Status 400.
  HeadTooLong, ///< Status 431.
  BodyTooLong, ///< Status 413.
};

/// Reads one HTTP/1.1 request after the other from a byte stream. Holds no more than the limits: a
/// head of `aMaxHeadBytes`, of which the headers become part of the request, and a body of
/// `aMaxBodyBytes`. Rejects what other parsers may read differently, such as two lengths.
class HttpRequestReader
{
public:
  HttpRequestReader(std::size_t aMaxHeadBytes, std::size_t aMaxBodyBytes)
    : maxHeadBytes(aMaxHeadBytes)
    , maxBodyBytes(aMaxBodyBytes)
  {
  }

  /// Takes bytes until the request is complete or cannot be read. Returns the number of bytes
  /// taken; the others belong to the next request.
  std::size_t Feed(std::string_view aBytes);

  bool IsComplete() const { return this->state == State::Complete; }
  HttpReadError ReadError() const { return this->error; }
  /// True if a part of a request, and not all of it, has been read.
  bool IsBegun() const { return this->isBegun && !this->IsComplete(); }
  /// True once if the client waits for "100 Continue" before it sends the body.
  bool TakeContinueRequest();
  /// Bytes that are held for the request.
  std::size_t HeldBytes() const;

  /// Returns the complete request and starts with the next one.
  HttpRequest Take();

private:
  enum class State : std::uint8_t
  {
    RequestLine,
    Headers,
    Body,      ///< Of a stated length.
    ChunkSize, ///< The line with the size of a chunk.
    ChunkData,
    ChunkEnd, ///< The line end after the data of a chunk.
    Trailers, ///< The lines after the last chunk, which are ignored.
    Complete,
  };

  std::size_t FeedLine(std::string_view aBytes);
  std::size_t FeedBody(std::string_view aBytes);
  void HandleLine();
  void HandleRequestLine();
  void HandleHeader();
  void HandleHeadEnd();
  void HandleChunkSize();
  void Fail(HttpReadError aError) { this->error = aError; }

  std::size_t maxHeadBytes;
  std::size_t maxBodyBytes;
  State state = State::RequestLine;
  HttpReadError error = HttpReadError::None;
  HttpRequest request;
  std::string line;          ///< Part of a line that is not complete.
  std::size_t headBytes = 0; ///< Of lines of the head and the trailers so far.
  std::size_t bodyLeft = 0;  ///< Bytes of the body, or of its chunk, that are still to come.
  bool hasLength = false;
  bool isChunked = false;
  bool awaitsContinue = false;
  bool isBegun = false;
};

} // namespace oleanderledge
