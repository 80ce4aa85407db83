#include "WriterToken.hpp"

#include <utility>

namespace oleanderledge::stand_in {

WriterToken::WriterToken(QObject* aParent)
  : QObject(aParent)
{
}

bool WriterToken::TryAcquire(const void* aHolder)
{
  if (this->current != nullptr || !this->waiters.empty()) {
    return this->current == aHolder;
  }
  this->current = aHolder;
  return true;
}

void WriterToken::Enqueue(const void* aHolder, Granted aGranted)
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
    // The grant is queued so that the releasing session first completes its own statement.
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
