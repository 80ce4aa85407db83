#include "oleanderledge/transport/LinkConnection.hpp"

#include "oleanderledge/transport/LinkTraffic.hpp"

#include <QHostAddress>

#include <charconv>

namespace oleanderledge {

namespace {

/// A link on which no valid Hello arrived is closed after this time.
constexpr int kHelloTimeoutMs = 3000;
constexpr qint64 kReadBufferBytes = qint64{ 256 } * 1024;
/// Largest frame before the Hello of the peer. A Hello has a few names and addresses.
constexpr std::size_t kMaxHelloBytes = std::size_t{ 4 } * 1024;
/// Longest name of an instance or zone.
constexpr std::size_t kMaxNameBytes = 255;

/// True if the names of an instance may be stored and logged.
bool IsAcceptable(const InstanceInfo& aInstance)
{
  const auto isShort = [](const std::string& aText) { return aText.size() <= kMaxNameBytes; };
  return isShort(aInstance.id) && isShort(aInstance.zone) && isShort(aInstance.linkAddress) &&
         isShort(aInstance.httpAddress);
}

} // namespace

std::pair<std::string, std::uint16_t> SplitAddress(std::string_view aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string_view::npos) {
    return { std::string(aAddress), 0 };
  }
  const std::string_view digits = aAddress.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size()) {
    port = 0;
  }
  return { std::string(aAddress.substr(0, colon)), port };
}

LinkConnection::LinkConnection(const InstanceInfo& aSelf,
                               const std::string& aAddress,
                               const EmulatedLatency& aLatency,
                               QObject* aParent)
  : QObject(aParent)
  , selfInfo(aSelf)
  , latency(aLatency)
  , socket(new QTcpSocket(this))
{
  this->SetUpSocket();
  const auto [host, port] = SplitAddress(aAddress);
  QObject::connect(this->socket, &QTcpSocket::connected, this, [this] {
    this->WriteFrame(EncodeFrame(Hello{ kLinkProtocolVersion, this->selfInfo }));
  });
  this->socket->connectToHost(QHostAddress(QString::fromStdString(host)), port);
}

LinkConnection::LinkConnection(const InstanceInfo& aSelf,
                               QTcpSocket* aAccepted,
                               const EmulatedLatency& aLatency,
                               QObject* aParent)
  : QObject(aParent)
  , selfInfo(aSelf)
  , latency(aLatency)
  , socket(aAccepted)
{
  this->socket->setParent(this);
  this->SetUpSocket();
  this->WriteFrame(EncodeFrame(Hello{ kLinkProtocolVersion, this->selfInfo }));
}

void LinkConnection::SetLimits(const LinkLimits& aLimits)
{
  this->maxFrameBytes = aLimits.frameBytes;
}

std::uint64_t LinkConnection::HeldBytes() const
{
  return this->reader.HeldBytes() + static_cast<std::uint64_t>(this->QueuedBytes()) +
         static_cast<std::uint64_t>(this->socket->bytesAvailable());
}

std::optional<Instant> LinkConnection::IncompleteSince() const
{
  return this->reader.IsFrameBegun() ? std::optional(this->frameSince) : std::nullopt;
}

std::string LinkConnection::PeerAddress() const
{
  return this->socket->peerAddress().toString().toStdString();
}

void LinkConnection::SetUpSocket()
{
  this->reader.SetMaxBody(kMaxHelloBytes);
  this->lastReceivedAt = MonotonicNow();
  // A peer that sends faster than its messages are handled waits.
  this->socket->setReadBufferSize(kReadBufferBytes);
  this->socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  QObject::connect(this->socket, &QTcpSocket::readyRead, this, &LinkConnection::ReadAvailable);
  QObject::connect(this->socket, &QTcpSocket::disconnected, this, &LinkConnection::CloseNow);
  QObject::connect(this->socket, &QTcpSocket::errorOccurred, this, &LinkConnection::CloseNow);
  this->delayTimer.setSingleShot(true);
  this->delayTimer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->delayTimer, &QTimer::timeout, this, &LinkConnection::FlushDelayed);
  QTimer::singleShot(kHelloTimeoutMs, this, [this] {
    if (!this->helloReceived) {
      this->Close();
    }
  });
}

void LinkConnection::Send(const Message& aMessage)
{
  if (this->isClosed) {
    return;
  }
  const Duration delay = this->helloReceived
                           ? this->latency.Between(this->selfInfo.zone, this->peerInfo.zone)
                           : Duration{ 0 };
  std::string frame = EncodeFrame(aMessage);
  CountSentBytes(aMessage.index(),
                 this->helloReceived ? DistanceBetween(this->selfInfo.zone, this->peerInfo.zone)
                                     : ZoneDistance::SameZone,
                 frame.size());
  if (this->helloReceived && delay == Duration{ 0 } && this->delayedFrames.empty()) {
    this->WriteFrame(std::move(frame));
    return;
  }
  this->delayedBytes += static_cast<std::int64_t>(frame.size());
  this->delayedFrames.push_back({ MonotonicNow() + delay, std::move(frame) });
  this->FlushDelayed();
}

void LinkConnection::FlushDelayed()
{
  // Messages wait for the peer's Hello, because the delay depends on the zone of the peer.
  if (!this->helloReceived || this->isClosed) {
    return;
  }
  while (!this->delayedFrames.empty() && this->delayedFrames.front().due <= MonotonicNow()) {
    this->delayedBytes -= static_cast<std::int64_t>(this->delayedFrames.front().frame.size());
    std::string frame = std::move(this->delayedFrames.front().frame);
    this->delayedFrames.pop_front();
    this->WriteFrame(std::move(frame));
  }
  if (!this->delayedFrames.empty() && !this->delayTimer.isActive()) {
    const Duration wait = this->delayedFrames.front().due - MonotonicNow();
    this->delayTimer.start(
      std::max(std::chrono::milliseconds(0), std::chrono::ceil<std::chrono::milliseconds>(wait)));
  }
}

void LinkConnection::WriteFrame(std::string aFrame)
{
  this->socket->write(aFrame.data(), static_cast<qint64>(aFrame.size()));
}

void LinkConnection::Close()
{
  if (this->isClosed) {
    return;
  }
  // Deferred, so that Closed() is not emitted re-entrantly if a handler of Received() calls this.
  QMetaObject::invokeMethod(this, &LinkConnection::CloseNow, Qt::QueuedConnection);
}

std::int64_t LinkConnection::QueuedBytes() const
{
  return this->delayedBytes + this->socket->bytesToWrite();
}

void LinkConnection::ReadAvailable()
{
  const QByteArray bytes = this->socket->readAll();
  this->lastReceivedAt = MonotonicNow();
  if (!this->reader.IsFrameBegun()) {
    this->frameSince = this->lastReceivedAt;
  }
  this->reader.Feed({ bytes.constData(), static_cast<std::size_t>(bytes.size()) });
  while (!this->isClosed) {
    auto body = this->reader.Next();
    if (!body) {
      this->Reject(body.error().code, body.error().message);
      return;
    }
    if (!body.value()) {
      break;
    }
    this->frameSince = this->lastReceivedAt;
    this->HandleBody(*body.value());
  }
  if (!this->isClosed) {
    Q_EMIT this->BytesHandled();
  }
}

void LinkConnection::HandleBody(const std::string& aBody)
{
  auto message = DecodeFrameBody(aBody);
  if (!message) {
    this->Reject(message.error().code, message.error().message);
    return;
  }
  if (const auto* hello = std::get_if<Hello>(&message.value())) {
    this->HandleHello(*hello);
    return;
  }
  if (!this->helloReceived) {
    this->Reject(ResultCode::MalformedFrame, "message before Hello");
    return;
  }
  Q_EMIT this->Received(message.value());
}

void LinkConnection::HandleHello(const Hello& aHello)
{
  if (aHello.protocolVersion != kLinkProtocolVersion) {
    this->Reject(ResultCode::IncompatibleProtocol,
                 "peer speaks version " + std::to_string(aHello.protocolVersion));
    return;
  }
  if (this->helloReceived) {
    this->Reject(ResultCode::MalformedFrame, "second Hello");
    return;
  }
  if (!IsAcceptable(aHello.instance)) {
    this->Reject(ResultCode::MalformedFrame, "a name or address is too long");
    return;
  }
  this->peerInfo = aHello.instance;
  this->helloReceived = true;
  // The log of the control group travels in frames of any size.
  const bool isControl = this->peerInfo.role == InstanceRole::Control;
  this->reader.SetMaxBody(isControl ? kMaxFrameBytes : this->maxFrameBytes);
  WriteLog(LogEvent::LinkConnected, "peer=" + this->peerInfo.id);
  Q_EMIT this->Ready();
  this->FlushDelayed();
}

void LinkConnection::Reject(ResultCode aCode, const std::string& aReason)
{
  WriteLog(LogEvent::LinkRejected,
           "code=" + std::to_string(static_cast<unsigned>(aCode)) + " peer=" + this->peerInfo.id +
             " reason=" + aReason);
  Q_EMIT this->Rejected(aCode);
  this->CloseNow();
}

void LinkConnection::CloseNow()
{
  if (this->isClosed) {
    return;
  }
  this->isClosed = true;
  this->delayTimer.stop();
  this->delayedFrames.clear();
  this->socket->abort();
  if (this->helloReceived) {
    WriteLog(LogEvent::LinkClosed, "peer=" + this->peerInfo.id);
  }
  Q_EMIT this->Closed();
}

} // namespace oleanderledge
