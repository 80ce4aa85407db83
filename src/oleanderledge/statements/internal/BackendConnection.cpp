#include "oleanderledge/statements/internal/BackendConnection.hpp"

namespace oleanderledge {

namespace {

std::string_view ToString(ConnectionEnd aEnd)
{
  switch (aEnd) {
    case ConnectionEnd::BackendFull:
      return "backend_full";
    case ConnectionEnd::RelayFailed:
      return "relay_failed";
    case ConnectionEnd::BackendFailed:
      break;
  }
  return "backend_failed";
}

} // namespace

BackendConnection::BackendConnection(std::string aBackend, QObject* aParent)
  : QObject(aParent)
  , backend(std::move(aBackend))
{
}

std::size_t BackendConnection::PreparedBytes() const
{
  constexpr std::size_t kNameBytes = 64;
  std::size_t bytes = 0;
  for (const std::string& name : this->prepared) {
    bytes += name.size() + kNameBytes;
  }
  return bytes;
}

void BackendConnection::Run(const std::string& aRequest, Callback aCallback)
{
  this->callback = std::move(aCallback);
  this->result = StatementResult{};
  this->result.sentAt = MonotonicNow();
  this->Send(aRequest);
}

void BackendConnection::Close()
{
  if (this->isClosed) {
    return;
  }
  this->CloseTransport();
  this->isClosed = true;
  this->isOpen = false;
  this->callback = nullptr;
  this->deleteLater();
}

void BackendConnection::MarkOpened()
{
  this->isOpen = true;
  this->idleSince = MonotonicNow();
  Q_EMIT this->Opened();
}

void BackendConnection::CompleteStatement(const ReadyAnswer& aReady)
{
  this->result.ready = aReady;
  this->idleSince = MonotonicNow();
  this->result.took = this->idleSince - this->result.sentAt;
  const Callback done = std::exchange(this->callback, nullptr);
  done(std::move(this->result));
}

void BackendConnection::EndConnection(ConnectionEnd aEnd, std::string_view aReason)
{
  if (this->isClosed) {
    return;
  }
  const bool wasOpen = this->isOpen;
  const Callback done = std::exchange(this->callback, nullptr);
  const auto holder = std::exchange(this->idleLossCallback, nullptr);
  this->endReason = aEnd;
  this->Close();
  WriteLog(wasOpen ? LogEvent::BackendConnectionLost : LogEvent::BackendRefusedConnection,
           "backend=" + this->backend + " reason=" + std::string(aReason) +
             " end=" + std::string(ToString(aEnd)) + " busy=" + (done ? "yes" : "no"));
  // The pool removes the connection before the statement is retried elsewhere.
  Q_EMIT this->Closed();
  if (done) {
    StatementResult lost;
    lost.lost = true;
    lost.sentAt = this->result.sentAt;
    lost.took = MonotonicNow() - this->result.sentAt;
    done(std::move(lost));
  } else if (holder) {
    holder();
  }
}

} // namespace oleanderledge
