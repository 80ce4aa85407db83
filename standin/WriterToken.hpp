#pragma once

#include <QObject>

#include <deque>
#include <functional>

namespace oleanderledge::stand_in {

/// Write lock of a slot: admits one writing transaction at a time, in FIFO order.
class WriterToken : public QObject
{
public:
  using Granted = std::function<void()>;

  explicit WriterToken(QObject* aParent);

  /// Acquires the token if it is free and the queue is empty. Also true if `aHolder` holds it.
  bool TryAcquire(const void* aHolder);

  /// Queues for the token; `aGranted` is called from the event loop once `aHolder` holds it.
  void Enqueue(const void* aHolder, Granted aGranted);

  /// Releases the token and removes the holder from the queue.
  void Release(const void* aHolder);

  bool IsHeldBy(const void* aHolder) const { return this->current == aHolder; }

private:
  struct Waiter
  {
    const void* holder;
    Granted granted;
  };

  void GrantNext();

  const void* current = nullptr;
  std::deque<Waiter> waiters;
};

} // namespace oleanderledge::stand_in
