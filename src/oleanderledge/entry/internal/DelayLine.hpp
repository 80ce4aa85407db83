#pragma once

#include "oleanderledge/base/base.hpp"

#include <QByteArray>
#include <QObject>
#include <QTimer>

#include <deque>
#include <functional>

namespace oleanderledge {

/// Hands bytes on in order after a fixed delay, to emulate the network between callers and the
/// proxy. Without a delay, bytes are handed on at once.
class DelayLine : public QObject
{
  Q_OBJECT

public:
  DelayLine(Duration aDelay, std::function<void(const QByteArray&)> aSink, QObject* aParent);

  void Push(const QByteArray& aBytes);
  std::int64_t QueuedBytes() const { return this->queuedBytes; }

Q_SIGNALS:
  /// Everything pushed was handed on.
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
