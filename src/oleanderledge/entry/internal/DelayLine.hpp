#pragma once

#include "oleanderledge/base/base.hpp"

#include <QByteArray>
#include <QObject>
#include <QTimer>

#include <deque>
#include <functional>

namespace oleanderledge {

/// Passes bytes to the sink in order after a fixed delay, to emulate the network latency between
/// callers and the proxy. With a delay of 0, bytes are passed on immediately.
class DelayLine : public QObject
{
  Q_OBJECT

public:
  DelayLine(Duration aDelay, std::function<void(const QByteArray&)> aSink, QObject* aParent);

  void Push(const QByteArray& aBytes);
  std::int64_t QueuedBytes() const { return this->queuedBytes; }

Q_SIGNALS:
  /// Emitted when no bytes are queued any more.
  void Drained();

private:
  struct Piece
  {
    Instant due;
    QByteArray content;
  };

  void DeliverDue();

  Duration delay;
  std::function<void(const QByteArray&)> sink;
  std::deque<Piece> pieces;
  std::int64_t queuedBytes = 0;
  QTimer timer;
};

} // namespace oleanderledge
