#include "oleanderledge/owner/internal/BackendMonitor.hpp"

namespace oleanderledge {

namespace {

constexpr int kReopenDelayMs = 100;

/// Largest number of unanswered queries. With a round trip of 24 ms and a query every 5 ms, five
/// are unanswered.
constexpr std::size_t kMaxPendingQueries = 8;

/// The connection is replaced if a query is unanswered for this time, because a network partition
/// may have cut it off without closing it.
constexpr Duration kAnswerTimeout{ 1'500'000 };

} // namespace

BackendMonitor::BackendMonitor(std::string aSlot,
                               BackendEndpoint aEndpoint,
                               Duration aInterval,
                               QObject* aParent)
  : QObject(aParent)
  , slot(std::move(aSlot))
  , endpoint(std::move(aEndpoint))
  , interval(aInterval)
{
  this->timer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->timer, &QTimer::timeout, this, &BackendMonitor::SendStatusQuery);
  this->timer.start(std::chrono::ceil<std::chrono::milliseconds>(aInterval));
  this->Open();
}

void BackendMonitor::SetInterval(Duration aInterval)
{
  if (aInterval == this->interval) {
    return;
  }
  const bool isShorter = aInterval < this->interval;
  this->interval = aInterval;
  this->timer.start(std::chrono::ceil<std::chrono::milliseconds>(aInterval));
  if (isShorter) {
    this->SendStatusQuery();
  }
}

void BackendMonitor::Open()
{
  this->pendingQueries.clear();
  this->status.reset();
  this->socket = new BackendSocket(this->endpoint, this);
  QObject::connect(this->socket, &BackendSocket::Ready, this, &BackendMonitor::SendStatusQuery);
  QObject::connect(this->socket, &BackendSocket::Received, this, &BackendMonitor::HandleMessage);
  // Queued, because the socket can fail in its constructor. The call can therefore arrive after the
  // socket was replaced.
  QObject::connect(
    this->socket,
    &BackendSocket::Closed,
    this,
    [this, opened = this->socket] {
      if (opened == this->socket) {
        this->HandleClosed();
      }
    },
    Qt::QueuedConnection);
}

void BackendMonitor::HandleClosed()
{
  if (this->socket == nullptr) {
    return;
  }
  this->socket->disconnect(this);
  this->socket->deleteLater();
  this->socket = nullptr;
  Q_EMIT this->Unreachable();
  QTimer::singleShot(kReopenDelayMs, this, &BackendMonitor::Open);
}

void BackendMonitor::SendStatusQuery()
{
  if (this->socket == nullptr || !this->socket->IsReady()) {
    return;
  }
  const Instant now = MonotonicNow();
  if (!this->pendingQueries.empty() && now - this->pendingQueries.front() > kAnswerTimeout) {
    this->HandleClosed();
    return;
  }
  if (this->pendingQueries.size() >= kMaxPendingQueries) {
    return;
  }
  this->pendingQueries.push_back(now);
  this->socket->Send(BuildQuery(kStatusQuery));
}

void BackendMonitor::HandleMessage(const std::string& aMessage)
{
  const auto views = SplitMessages(aMessage);
  if (views.empty()) {
    return;
  }
  if (views.front().type == 'D') {
    this->status = ParseStatusRow(ReadDataRow(views.front().body));
    return;
  }
  if (views.front().type != 'Z' || this->pendingQueries.empty()) {
    return;
  }
  const Instant queriedAt = this->pendingQueries.front();
  this->pendingQueries.pop_front();
  if (!this->status) {
    return;
  }
  SlotStatus answer = *this->status;
  this->status.reset();
  answer.slot = this->slot;
  answer.queriedAt = queriedAt;
  Q_EMIT this->StatusReceived(answer);
}

} // namespace oleanderledge
