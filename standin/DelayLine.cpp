#include "DelayLine.hpp"

#include <algorithm>

namespace oleanderledge::stand_in {

DelayLine::DelayLine(Duration aDelay, Sink aSink, QObject* aParent)
  : QObject(aParent)
  , delay(aDelay)
  , sink(std::move(aSink))
{
  this->timer.setSingleShot(true);
  this->timer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->timer, &QTimer::timeout, this, &DelayLine::DeliverDue);
}

void DelayLine::Push(std::string aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  if (this->delay == Duration{ 0 }) {
    this->sink(aBytes);
    return;
  }
  this->queue.push_back({ MonotonicNow() + this->delay, std::move(aBytes) });
  this->DeliverDue();
}

void DelayLine::Flush()
{
  while (!this->queue.empty()) {
    const std::string bytes = std::move(this->queue.front().bytes);
    this->queue.pop_front();
    this->sink(bytes);
  }
}

void DelayLine::DeliverDue()
{
  while (!this->queue.empty() && this->queue.front().due <= MonotonicNow()) {
    const std::string bytes = std::move(this->queue.front().bytes);
    this->queue.pop_front();
    this->sink(bytes);
  }
  if (!this->queue.empty() && !this->timer.isActive()) {
    const Duration wait = this->queue.front().due - MonotonicNow();
    this->timer.start(
      std::max(std::chrono::milliseconds(0), std::chrono::ceil<std::chrono::milliseconds>(wait)));
  }
}

} // namespace oleanderledge::stand_in
