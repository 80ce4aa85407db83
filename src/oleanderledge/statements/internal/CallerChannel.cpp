#include "oleanderledge/statements/internal/CallerChannel.hpp"

#include <array>

namespace oleanderledge {

namespace {

/// Bytes that are read at once, and thus decoded beyond one message at most.
constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;
/// Size of the receive buffer of the kernel, which doubles it. The kernel would otherwise enlarge
/// it up to 6 MB for each connection, which counts towards the memory of the process's group.
constexpr int kKernelBufferBytes = 64 * 1024;

} // namespace

std::uint64_t BytesOf(const Statement& aStatement)
{
  return sizeof(Statement) + aStatement.id.size() + aStatement.text.size() +
         aStatement.name.size() + aStatement.argument.size();
}

std::uint64_t BytesOf(const CallerMessage& aMessage)
{
  if (const auto* statement = std::get_if<Statement>(&aMessage)) {
    return BytesOf(*statement);
  }
  const auto* startUp = std::get_if<StartUp>(&aMessage);
  return startUp == nullptr ? 0 : startUp->database.size() + startUp->key.size();
}

CallerChannel::CallerChannel(std::unique_ptr<CallerDecoder> aDecoder,
                             QTcpSocket& aSocket,
                             const ClientLimits& aLimits)
  : decoder(std::move(aDecoder))
  , socket(aSocket)
  , limits(aLimits)
  , responseSince(MonotonicNow())
{
  this->socket.setReadBufferSize(this->limits.readAheadBytes);
  this->socket.setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption, kKernelBufferBytes);
}

void CallerChannel::Receive()
{
  std::array<char, kReadBytes> bytes;
  while (this->isReading && !this->next && !this->violation && !this->Decode()) {
    const qint64 count = this->socket.read(bytes.data(), static_cast<qint64>(bytes.size()));
    if (count <= 0) {
      break;
    }
    this->decoder->Append({ bytes.data(), static_cast<std::size_t>(count) });
  }
  if (this->next || this->violation || this->decoder->BufferedBytes() == 0) {
    this->messageBegun.reset();
  } else if (!this->messageBegun) {
    this->messageBegun = MonotonicNow();
  }
}

bool CallerChannel::Decode()
{
  auto decoded = this->decoder->Next();
  if (!decoded) {
    return false;
  }
  if (*decoded) {
    this->next = std::move(decoded->value());
  } else {
    this->violation = decoded->error();
  }
  return true;
}

CallerMessage CallerChannel::Take()
{
  CallerMessage message = std::move(*this->next);
  this->next.reset();
  this->Receive();
  return message;
}

void CallerChannel::Write(std::string_view aBytes)
{
  this->socket.write(aBytes.data(), static_cast<qint64>(aBytes.size()));
  this->written += aBytes.size();
}

void CallerChannel::StopReading()
{
  this->isReading = false;
  this->next.reset();
  this->violation.reset();
  this->messageBegun.reset();
  this->decoder->Clear();
}

bool CallerChannel::IsResponseUnread() const
{
  return this->UnreadBytes() > this->limits.unreadResponseBytes;
}

std::uint64_t CallerChannel::HeldBytes() const
{
  return this->decoder->BufferedBytes() + (this->next ? BytesOf(*this->next) : 0) +
         static_cast<std::uint64_t>(this->socket.bytesAvailable()) + this->UnreadBytes();
}

std::optional<ClosingReason> CallerChannel::CheckTimeLimits(Instant aNow)
{
  if (this->messageBegun && aNow - *this->messageBegun >= this->limits.messageTime) {
    return ClosingReason::MessageTime;
  }
  if (this->written - this->UnreadBytes() >= this->responseEnd) {
    this->responseEnd = this->written;
    this->responseSince = aNow;
    return std::nullopt;
  }
  return aNow - this->responseSince >= this->limits.responseTime
           ? std::optional(ClosingReason::ResponseTime)
           : std::nullopt;
}

} // namespace oleanderledge
