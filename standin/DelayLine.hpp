#pragma once

#include "oleanderledge/base/base.hpp"

#include <QObject>
#include <QTimer>

#include <deque>
#include <functional>
#include <string>

namespace oleanderledge::stand_in {

/// Hands bytes on, in order, after a fixed delay. With a delay of zero it does so at once.
class DelayLine : public QObject
{
public:
  using Sink = std::function<void(const std::string&)>;

  DelayLine(Duration aDelay, Sink aSink, QObject* aParent);

  void Push(std::string aBytes);

  /// Hands on everything at once.
  void Flush();

private:
  struct Delayed
  {
    Instant due;
    std::string bytes;
  };

  void HandOnDue();

  Duration delay;
  Sink sink;
  std::deque<Delayed> queue;
  QTimer timer;
};

} // namespace oleanderledge::stand_in
