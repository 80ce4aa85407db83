#include "oleanderledge/entry/internal/DelayLine.hpp"

#include <algorithm>

namespace oleanderledge {

DelayLine::DelayLine(Duration aDelay,
                     std::function<void(const QByteArray&)> aSink,
                     QObject* aParent)
  : QObject(aParent)
  , delay(aDelay)
  , sink(std::move(aSink))
{
  this->timer.setSingleShot(true);
  this->timer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->timer, &QTimer::timeout, this, &DelayLine::DeliverDue);
}

void DelayLine::Push(const QByteArray& aBytes)
{
  if (this->delay == Duration{ 0 }) {
    this->sink(aBytes);
    return;
  }
  this->queuedBytes += aBytes.size();
  this->pieces.push_back({ MonotonicNow() + this->delay, aBytes });
  if (!this->timer.isActive()) {
    this->DeliverDue();
  }
}

void DelayLine::DeliverDue()
{
  while (!this->pieces.empty() && this->pieces.front().due <= MonotonicNow()) {
    const QByteArray content = std::move(this->pieces.front().content);
    this->pieces.pop_front();
    this->queuedBytes -= content.size();
    this->sink(content);
  }
  if (this->pieces.empty()) {
    Q_EMIT this->Drained();
    return;
  }
  const Duration wait = this->pieces.front().due - MonotonicNow();
  this->timer.start(
    std::max(std::chrono::milliseconds(0), std::chrono::ceil<std::chrono::milliseconds>(wait)));
}

} // namespace oleanderledge
