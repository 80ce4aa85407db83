#include "WriterToken.hpp"

#include <utility>

namespace oleanderledge::stand_in {

WriterToken::WriterToken(QObject* aParent)
  : QObject(aParent)
{
}

bool WriterToken::TryTake(const void* aHolder)
{
  if (this->current != nullptr || !this->waiters.empty()) {
    return this->current == aHolder;
  }
  this->current = aHolder;
  return true;
}

void WriterToken::Wait(const void* aHolder, Granted aGranted)
{
  this->waiters.push_back({ aHolder, std::move(aGranted) });
}

void WriterToken::Release(const void* aHolder)
{
  std::erase_if(this->waiters, [&](const Waiter& aWaiter) { return aWaiter.holder == aHolder; });
  if (this->current != aHolder) {
    return;
  }
  this->current = nullptr;
  if (!this->waiters.empty()) {
    // Queued, so that the releasing session finishes its own work first.
    QMetaObject::invokeMethod(this, &WriterToken::GrantNext, Qt::QueuedConnection);
  }
}

void WriterToken::GrantNext()
{
  if (this->current != nullptr || this->waiters.empty()) {
    return;
  }
  Waiter next = std::move(this->waiters.front());
  this->waiters.pop_front();
  this->current = next.holder;
  next.granted();
}

} // namespace oleanderledge::stand_in
