#pragma once

#include "oleanderledge/base/base.hpp"

#include <QObject>
#include <QTimer>

#include <deque>
#include <functional>
#include <string>

namespace oleanderledge {

/// Passes bytes to a sink in order after a fixed delay, which emulates network latency. Without a
/// delay they are passed on at once.
class BackendDelayLine : public QObject
{
  Q_OBJECT

public:
  using Sink = std::function<void(const std::string&)>;

  BackendDelayLine(Duration aDelay, Sink aSink, QObject* aParent);

  void Push(std::string aBytes);

private:
  struct Entry
  {
    Instant due;
    std::string bytes;
  };

  void Flush();

  Duration delay;
  Sink sink;
  QTimer timer;
  std::deque<Entry> entries;
};

} // namespace oleanderledge
