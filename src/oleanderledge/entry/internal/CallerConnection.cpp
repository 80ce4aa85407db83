#include "oleanderledge/entry/internal/CallerConnection.hpp"

#include "oleanderledge/entry/internal/CallerErrors.hpp"
#include "oleanderledge/entry/internal/DelayLine.hpp"

#include <QTimer>

#include <sys/socket.h>

namespace oleanderledge {

namespace {

/// Largest start-up packet; the same limit as in the database server.
constexpr std::size_t kMaxStartupBytes = 10'000;
/// A client requests TLS and GSSAPI encryption at most once each.
constexpr int kMaxEncryptionRequests = 2;
/// Input that Qt buffers for one socket. Beyond it, TCP flow control slows the caller down.
constexpr qint64 kReadBufferBytes = qint64{ 256 } * 1024;
/// The connection is aborted this long after its close began, in case the caller does not read the
/// last error.
constexpr int kCloseTimeoutMs = 2000;

} // namespace

CallerConnection::CallerConnection(std::uint64_t aChannel,
                                   QTcpSocket* aSocket,
                                   const EntrySettings& aSettings,
                                   CallerConnectionEvents& aEvents,
                                   QObject* aParent)
  : QObject(aParent)
  , channel(aChannel)
  , socket(aSocket)
  , limits(aSettings.limits)
  , events(aEvents)
  , reader(kMaxStartupBytes)
{
  this->socket->setParent(this);
  this->socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  this->socket->setSocketOption(QAbstractSocket::KeepAliveOption, 1);
  this->socket->setReadBufferSize(kReadBufferBytes);
  this->input = new DelayLine(
    aSettings.emulatedCallerDelay,
    [this](const QByteArray& aBytes) {
      this->reader.Feed({ aBytes.constData(), static_cast<std::size_t>(aBytes.size()) });
      this->ProcessInput();
    },
    this);
  this->output = new DelayLine(
    aSettings.emulatedCallerDelay,
    [this](const QByteArray& aBytes) {
      if (!this->isDisconnected) {
        this->socket->write(aBytes);
      }
    },
    this);
  QObject::connect(this->socket, &QTcpSocket::readyRead, this, &CallerConnection::ReadSocket);
  QObject::connect(this->socket, &QTcpSocket::bytesWritten, this, &CallerConnection::CheckOutput);
  QObject::connect(
    this->socket, &QTcpSocket::disconnected, this, &CallerConnection::HandleDisconnect);
  QObject::connect(
    this->socket, &QTcpSocket::errorOccurred, this, &CallerConnection::HandleDisconnect);
  const auto startupTimeout =
    std::chrono::ceil<std::chrono::milliseconds>(this->limits.startupTimeout);
  QTimer::singleShot(startupTimeout, this, [this] {
    if (!this->session) {
      this->CloseWithError(ResultCode::StartupRejected,
                           "timed out while waiting for the start-up message");
    }
  });
}

bool CallerConnection::IsReadingPaused() const
{
  return this->isClosing || this->isOutputFull ||
         (this->session && !this->session->CanAcceptInput());
}

void CallerConnection::ReadSocket()
{
  if (this->isClosing) {
    // Unread input makes the system reset the connection, possibly before the caller has read the
    // error.
    this->socket->readAll();
    return;
  }
  // In a graceful stop, only a caller with an open transaction may send more.
  const bool shouldRead = !this->isStopping || !this->session || this->session->IsInTransaction();
  if (shouldRead && !this->IsReadingPaused()) {
    this->input->Push(this->socket->readAll());
  }
}

void CallerConnection::ProcessInput()
{
  while (!this->IsReadingPaused()) {
    if (!(this->session ? this->ProcessMessage() : this->ProcessStartup())) {
      return;
    }
  }
}

bool CallerConnection::ProcessStartup()
{
  auto packet = this->reader.NextUntyped();
  if (!packet) {
    this->CloseWithError(packet.error().code, packet.error().message);
    return false;
  }
  if (!packet.value()) {
    return false;
  }
  auto parsed = ParseStartupPacket(*packet.value());
  if (!parsed) {
    this->CloseWithError(parsed.error().code, parsed.error().message);
    return false;
  }
  if (std::holds_alternative<EncryptionRequest>(parsed.value())) {
    if (++this->encryptionRequests > kMaxEncryptionRequests) {
      this->CloseWithError(ResultCode::ProtocolViolation, "too many encryption requests");
      return false;
    }
    this->Write("N");
    return true;
  }
  if (const auto* cancel = std::get_if<CancelRequest>(&parsed.value())) {
    // The protocol requires closing without a reply, so that keys cannot be guessed.
    this->events.OnCancelRequest(*cancel);
    this->CloseAfterFlush();
    return false;
  }
  this->StartSession(std::get<StartupMessage>(parsed.value()));
  return this->session != nullptr;
}

void CallerConnection::StartSession(const StartupMessage& aMessage)
{
  auto starting = std::make_unique<CallerSession>(
    this->channel, this->limits, [this] { return this->events.CurrentDirectory(); });
  auto startupReply = starting->Start(aMessage);
  if (!startupReply) {
    this->CloseWithError(startupReply.error().code, startupReply.error().message);
    return;
  }
  auto key = this->events.OnSessionStart(*this, aMessage.database);
  if (!key) {
    this->CloseWithError(key.error().code, key.error().message);
    return;
  }
  this->session = std::move(starting);
  this->reader.SetMaxMessageBytes(this->limits.maxMessageBytes);
  this->Write(startupReply.value() +
              BuildBackendKeyData(key.value().processId, key.value().secret) +
              BuildReadyForQuery('I'));
}

bool CallerConnection::ProcessMessage()
{
  auto message = this->reader.NextTyped();
  if (!message) {
    this->CloseWithError(message.error().code, message.error().message);
    return false;
  }
  if (!message.value()) {
    return false;
  }
  this->HandleOutput(this->session->OnMessage(std::move(*message.value()), MonotonicNow()));
  return true;
}

void CallerConnection::DeliverReply(StatementReply&& aReply)
{
  if (this->isClosing || !this->session) {
    return;
  }
  this->HandleOutput(this->session->OnReply(std::move(aReply), MonotonicNow()));
  if (!this->isClosing) {
    this->ProcessInput();
    this->ReadSocket();
    this->CloseIfStoppingAndIdle();
  }
}

void CallerConnection::HandleOutput(SessionOutput&& aOutput)
{
  this->events.OnOutput(aOutput);
  this->Write(aOutput.toCaller);
  if (this->isClosing) {
    return;
  }
  if (aOutput.forward) {
    this->events.OnUnit(std::move(*aOutput.forward));
  }
  if (aOutput.shouldClose) {
    if (aOutput.closeReason != ResultCode::Ok) {
      WriteLog(LogEvent::CallerClosed,
               "channel=" + std::to_string(this->channel) +
                 " code=" + std::to_string(static_cast<unsigned>(aOutput.closeReason)));
    }
    this->CloseAfterFlush();
  }
}

void CallerConnection::Write(const std::string& aBytes)
{
  if (aBytes.empty() || this->isDisconnected) {
    return;
  }
  this->output->Push(QByteArray(aBytes.data(), static_cast<qsizetype>(aBytes.size())));
  const auto unread =
    static_cast<std::size_t>(this->output->QueuedBytes() + this->socket->bytesToWrite());
  if (unread > this->limits.maxOutputBytes) {
    WriteLog(LogEvent::CallerClosed,
             "channel=" + std::to_string(this->channel) +
               " code=" + std::to_string(static_cast<unsigned>(ResultCode::SlowReader)) +
               " unread=" + std::to_string(unread));
    this->Abort();
    return;
  }
  if (unread > this->limits.pauseOutputBytes && !this->isOutputFull) {
    this->isOutputFull = true;
    if (this->session) {
      (void)this->session->SetOutputFull(true);
    }
  }
}

void CallerConnection::CheckOutput()
{
  const auto unread =
    static_cast<std::size_t>(this->output->QueuedBytes() + this->socket->bytesToWrite());
  if (!this->isOutputFull || this->isClosing || unread > this->limits.pauseOutputBytes / 2) {
    return;
  }
  this->isOutputFull = false;
  if (this->session) {
    this->HandleOutput(this->session->SetOutputFull(false));
  }
  this->ProcessInput();
  this->ReadSocket();
  this->CloseIfStoppingAndIdle();
}

void CallerConnection::CloseWithError(ResultCode aCode, std::string_view aDetail)
{
  if (this->isClosing) {
    return;
  }
  WriteLog(this->session ? LogEvent::CallerClosed : LogEvent::CallerRejected,
           "channel=" + std::to_string(this->channel) + " code=" +
             std::to_string(static_cast<unsigned>(aCode)) + " reason=" + std::string(aDetail));
  this->Write(BuildCallerError("FATAL", aCode, RunState::NotRun, aDetail));
  this->CloseAfterFlush();
}

void CallerConnection::CloseAfterFlush()
{
  if (this->isClosing) {
    return;
  }
  this->isClosing = true;
  QTimer::singleShot(kCloseTimeoutMs, this, &CallerConnection::Abort);
  if (this->output->QueuedBytes() > 0) {
    QObject::connect(this->output, &DelayLine::Drained, this, &CallerConnection::FinishClosing);
    return;
  }
  this->FinishClosing();
}

void CallerConnection::FinishClosing()
{
  if (this->isDisconnected) {
    return;
  }
  this->socket->flush();
  if (this->socket->bytesAvailable() == 0 || this->socket->bytesToWrite() > 0) {
    this->socket->disconnectFromHost();
    return;
  }
  // Closing with unread input makes the system reset the connection, which can destroy the error
  // before the caller reads it. Therefore only the sending direction is shut down, and input is
  // discarded until the caller closes the connection or the close timeout expires.
  this->socket->readAll();
  ::shutdown(static_cast<int>(this->socket->socketDescriptor()), SHUT_WR);
}

void CallerConnection::BeginStop()
{
  this->isStopping = true;
  this->CloseIfStoppingAndIdle();
}

void CallerConnection::CloseIfStoppingAndIdle()
{
  if (!this->isStopping || this->isClosing) {
    return;
  }
  if (!this->session || (this->session->IsIdle() && this->reader.BufferedBytes() == 0)) {
    this->CloseWithError(ResultCode::ShuttingDown, {});
  }
}

void CallerConnection::ForceStop()
{
  if (!this->isClosing && this->session) {
    const RunState state = this->session->IsIdle() ? RunState::NotRun : RunState::Unknown;
    this->Write(BuildCallerError("FATAL", ResultCode::ShuttingDown, state));
    this->socket->flush();
  }
  this->CloseAfterFlush();
}

void CallerConnection::Abort()
{
  this->isClosing = true;
  this->socket->abort();
  this->HandleDisconnect();
}

void CallerConnection::HandleDisconnect()
{
  if (this->isDisconnected) {
    return;
  }
  this->isDisconnected = true;
  this->isClosing = true;
  this->events.OnDisconnected(*this);
}

} // namespace oleanderledge
