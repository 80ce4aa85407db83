#pragma once

#include "oleanderledge/base/base.hpp"

#include <QObject>
#include <QTimer>

#include <deque>
#include <functional>
#include <string>

namespace oleanderledge::stand_in {

/// Passes bytes to a sink, in order, after a fixed delay. A delay of zero passes them on
/// synchronously.
class DelayLine : public QObject
{
public:
  using Sink = std::function<void(const std::string&)>;

  DelayLine(Duration aDelay, Sink aSink, QObject* aParent);

  void Push(std::string aBytes);

  /// Passes on all queued bytes without waiting.
  void Flush();

private:
  struct Delayed
  {
    Instant due;
    std::string bytes;
  };

  void DeliverDue();

  Duration delay;
  Sink sink;
  std::deque<Delayed> queue;
  QTimer timer;
};

} // namespace oleanderledge::stand_in
