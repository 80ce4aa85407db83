#include "oleanderledge/owner/internal/BackendDelayLine.hpp"

#include <algorithm>

namespace oleanderledge {

BackendDelayLine::BackendDelayLine(Duration aDelay, Sink aSink, QObject* aParent)
  : QObject(aParent)
  , delay(aDelay)
  , sink(std::move(aSink))
{
  this->timer.setSingleShot(true);
  this->timer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->timer, &QTimer::timeout, this, &BackendDelayLine::Flush);
}

void BackendDelayLine::Push(std::string aBytes)
{
  if (this->delay == Duration{ 0 }) {
    this->sink(aBytes);
    return;
  }
  this->entries.push_back({ MonotonicNow() + this->delay, std::move(aBytes) });
  this->Flush();
}

void BackendDelayLine::Flush()
{
  while (!this->entries.empty() && this->entries.front().due <= MonotonicNow()) {
    const std::string bytes = std::move(this->entries.front().bytes);
    this->entries.pop_front();
    this->sink(bytes);
  }
  if (!this->entries.empty() && !this->timer.isActive()) {
    const Duration wait = this->entries.front().due - MonotonicNow();
    this->timer.start(
      std::max(std::chrono::milliseconds(0), std::chrono::ceil<std::chrono::milliseconds>(wait)));
  }
}

} // namespace oleanderledge
