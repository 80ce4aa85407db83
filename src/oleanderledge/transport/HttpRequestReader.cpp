#include "oleanderledge/transport/HttpRequestReader.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace oleanderledge {

namespace {

/// Each header of a request takes a hundred bytes and more of memory, however short it is.
constexpr qsizetype kMaxHeaders = 128;
/// Longest line with the size of a chunk, with its extensions.
constexpr std::size_t kMaxChunkLineBytes = 256;

std::string_view Trim(std::string_view aText)
{
  const auto isBlank = [](char aByte) { return aByte == ' ' || aByte == '\t'; };
  while (!aText.empty() && isBlank(aText.front())) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && isBlank(aText.back())) {
    aText.remove_suffix(1);
  }
  return aText;
}

/// True for the characters of a method or of the name of a header (RFC 9110, token).
bool IsToken(std::string_view aText)
{
  constexpr std::string_view kOther = "!#$%&'*+-.^_`|~";
  return !aText.empty() && std::ranges::all_of(aText, [&](unsigned char aByte) {
    return (aByte >= '0' && aByte <= '9') || (aByte >= 'A' && aByte <= 'Z') ||
           (aByte >= 'a' && aByte <= 'z') ||
           kOther.find(static_cast<char>(aByte)) != std::string_view::npos;
  });
}

bool IsSameWord(std::string_view aLeft, std::string_view aRight)
{
  return QByteArrayView(aLeft.data(), static_cast<qsizetype>(aLeft.size()))
           .compare(QByteArrayView(aRight.data(), static_cast<qsizetype>(aRight.size())),
                    Qt::CaseInsensitive) == 0;
}

/// Reads a number without sign that takes the whole text.
bool ParseNumber(std::string_view aText, int aBase, std::uint64_t& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, aNumber, aBase);
  return !aText.empty() && aText.front() != '-' && parsed.ec == std::errc{} && parsed.ptr == end;
}

QByteArray ToByteArray(std::string_view aText)
{
  return { aText.data(), static_cast<qsizetype>(aText.size()) };
}

} // namespace

QByteArray HttpRequest::Header(const QByteArray& aName) const
{
  for (const auto& [name, value] : this->headers) {
    if (name.compare(aName, Qt::CaseInsensitive) == 0) {
      return value;
    }
  }
  return {};
}

std::size_t HttpRequestReader::Feed(std::string_view aBytes)
{
  std::size_t taken = 0;
  while (taken < aBytes.size() && !this->IsComplete() && this->error == HttpReadError::None) {
    const std::string_view rest = aBytes.substr(taken);
    const bool isData = this->state == State::Body || this->state == State::ChunkData;
    taken += isData ? this->FeedBody(rest) : this->FeedLine(rest);
  }
  this->isBegun = this->isBegun || taken > 0;
  return taken;
}

std::size_t HttpRequestReader::FeedLine(std::string_view aBytes)
{
  const bool isHead = this->state == State::RequestLine || this->state == State::Headers ||
                      this->state == State::Trailers;
  const std::size_t room =
    isHead ? this->maxHeadBytes - this->headBytes : kMaxChunkLineBytes - this->line.size();
  const std::size_t end = aBytes.find('\n');
  const std::size_t length = end == std::string_view::npos ? aBytes.size() : end + 1;
  if (length > room) {
    this->Fail(isHead ? HttpReadError::HeadTooLong : HttpReadError::Malformed);
    return aBytes.size();
  }
  this->headBytes += isHead ? length : 0;
  this->line.append(aBytes.substr(0, length));
  if (end != std::string_view::npos) {
    this->line.pop_back();
    if (!this->line.empty() && this->line.back() == '\r') {
      this->line.pop_back();
    }
    this->HandleLine();
    this->line.clear();
  }
  return length;
}

std::size_t HttpRequestReader::FeedBody(std::string_view aBytes)
{
  const std::size_t length = std::min(aBytes.size(), this->bodyLeft);
  this->request.body.append(aBytes.data(), static_cast<qsizetype>(length));
  this->bodyLeft -= length;
  if (this->bodyLeft == 0) {
    this->state = this->state == State::Body ? State::Complete : State::ChunkEnd;
  }
  return length;
}

void HttpRequestReader::HandleLine()
{
  // A line feed or carriage return within a line is read differently by other parsers.
  if (this->line.find('\r') != std::string::npos || this->line.find('\0') != std::string::npos) {
    this->Fail(HttpReadError::Malformed);
    return;
  }
  switch (this->state) {
    case State::RequestLine:
      this->HandleRequestLine();
      return;
    case State::Headers:
      if (this->line.empty()) {
        this->HandleHeadEnd();
      } else {
        this->HandleHeader();
      }
      return;
    case State::ChunkSize:
      this->HandleChunkSize();
      return;
    case State::ChunkEnd:
      if (!this->line.empty()) {
        this->Fail(HttpReadError::Malformed);
      }
      this->state = State::ChunkSize;
      return;
    case State::Trailers:
      if (this->line.empty()) {
        this->state = State::Complete;
      }
      return;
    case State::Body:
    case State::ChunkData:
    case State::Complete:
      return;
  }
}

void HttpRequestReader::HandleRequestLine()
{
  // An empty line before a request is allowed (RFC 9112, section 2.2).
  if (this->line.empty()) {
    return;
  }
  const std::string_view text = this->line;
  const std::size_t first = text.find(' ');
  const std::size_t last = text.rfind(' ');
  if (first == std::string_view::npos || first == last || !IsToken(text.substr(0, first))) {
    this->Fail(HttpReadError::Malformed);
    return;
  }
  const std::string_view target = text.substr(first + 1, last - first - 1);
  const std::string_view version = text.substr(last + 1);
  this->request.method = text.substr(0, first);
  this->request.url = QUrl::fromEncoded(ToByteArray(target));
  this->request.keepsConnection = version == "HTTP/1.1";
  const bool isKnownVersion = version == "HTTP/1.1" || version == "HTTP/1.0";
  if (!isKnownVersion || !this->request.url.isValid() ||
      target.find(' ') != std::string_view::npos) {
    this->Fail(HttpReadError::Malformed);
    return;
  }
  this->state = State::Headers;
}

void HttpRequestReader::HandleHeader()
{
  const std::string_view text = this->line;
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos || !IsToken(text.substr(0, colon))) {
    this->Fail(HttpReadError::Malformed);
    return;
  }
  if (this->request.headers.size() >= kMaxHeaders) {
    this->Fail(HttpReadError::HeadTooLong);
    return;
  }
  const std::string_view name = text.substr(0, colon);
  const std::string_view value = Trim(text.substr(colon + 1));
  if (IsSameWord(name, "Content-Length")) {
    std::uint64_t length = 0;
    if (this->hasLength || !ParseNumber(value, 10, length)) {
      this->Fail(HttpReadError::Malformed);
      return;
    }
    if (length > this->maxBodyBytes) {
      this->Fail(HttpReadError::BodyTooLong);
      return;
    }
    this->hasLength = true;
    this->bodyLeft = length;
  } else if (IsSameWord(name, "Transfer-Encoding")) {
    if (this->isChunked || !IsSameWord(value, "chunked")) {
      this->Fail(HttpReadError::Malformed);
      return;
    }
    this->isChunked = true;
  } else if (IsSameWord(name, "Expect")) {
    this->awaitsContinue = IsSameWord(value, "100-continue");
  } else if (IsSameWord(name, "Connection") && IsSameWord(value, "close")) {
    this->request.keepsConnection = false;
  }
  this->request.headers.append({ ToByteArray(name), ToByteArray(value) });
}

void HttpRequestReader::HandleHeadEnd()
{
  if (this->hasLength && this->isChunked) {
    this->Fail(HttpReadError::Malformed);
  } else if (this->isChunked) {
    this->state = State::ChunkSize;
  } else {
    this->state = this->bodyLeft == 0 ? State::Complete : State::Body;
  }
  this->awaitsContinue = this->awaitsContinue && this->state != State::Complete;
}

void HttpRequestReader::HandleChunkSize()
{
  const std::string_view text = this->line;
  std::uint64_t size = 0;
  constexpr int kHexadecimal = 16;
  if (!ParseNumber(Trim(text.substr(0, text.find(';'))), kHexadecimal, size)) {
    this->Fail(HttpReadError::Malformed);
    return;
  }
  if (size > this->maxBodyBytes - static_cast<std::size_t>(this->request.body.size())) {
    this->Fail(HttpReadError::BodyTooLong);
    return;
  }
  this->bodyLeft = size;
  this->state = size == 0 ? State::Trailers : State::ChunkData;
}

bool HttpRequestReader::TakeContinueRequest()
{
  const bool hasHead = this->state != State::RequestLine && this->state != State::Headers;
  return hasHead && this->error == HttpReadError::None &&
         std::exchange(this->awaitsContinue, false);
}

std::size_t HttpRequestReader::HeldBytes() const
{
  // A byte array grows by doubling, so up to twice its size may be allocated.
  return this->headBytes + this->line.capacity() +
         static_cast<std::size_t>(this->request.body.capacity());
}

HttpRequest HttpRequestReader::Take()
{
  HttpRequest taken = std::exchange(this->request, {});
  *this = HttpRequestReader(this->maxHeadBytes, this->maxBodyBytes);
  return taken;
}

} // namespace oleanderledge
