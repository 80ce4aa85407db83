#pragma once

#include <QObject>

#include <deque>
#include <functional>

namespace oleanderledge::stand_in {

/// Admits one writing transaction of a slot at a time, in order of arrival.
class WriterToken : public QObject
{
public:
  using Granted = std::function<void()>;

  explicit WriterToken(QObject* aParent);

  /// Takes the token if it is free and nobody waits.
  bool TryTake(const void* aHolder);

  /// Queues for the token; `aGranted` is called from the event loop while it is held.
  void Wait(const void* aHolder, Granted aGranted);

  /// Leaves the queue or gives the token back.
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
