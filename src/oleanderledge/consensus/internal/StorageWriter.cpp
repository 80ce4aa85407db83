#include "oleanderledge/consensus/internal/StorageWriter.hpp"

#include <utility>

namespace oleanderledge {

StorageWriter::StorageWriter(MemberStorage& aStorage, Callback aOnWritten)
  : storage(aStorage)
  , onWritten(std::move(aOnWritten))
{
  this->worker.moveToThread(&this->thread);
  this->thread.start();
}

StorageWriter::~StorageWriter()
{
  this->thread.quit();
  this->thread.wait();
}

void StorageWriter::Store(std::vector<PersistBatch> aBatches)
{
  this->isBusy = true;
  const std::uint64_t number = ++this->writes;
  QMetaObject::invokeMethod(
    &this->worker,
    [this, number, batches = std::move(aBatches)]() mutable {
      const Instant startedAt = MonotonicNow();
      Result<void> result = this->storage.Persist(batches);
      Written written{ std::move(batches), std::move(result), MonotonicNow() - startedAt };
      QMetaObject::invokeMethod(
        this,
        [this, number, written = std::move(written)]() mutable {
          if (number != this->writes) {
            return;
          }
          this->isBusy = false;
          this->onWritten(std::move(written));
        },
        Qt::QueuedConnection);
    },
    Qt::QueuedConnection);
}

void StorageWriter::WaitAndDiscard()
{
  ++this->writes;
  this->isBusy = false;
  QMetaObject::invokeMethod(
    &this->worker, [] {}, Qt::BlockingQueuedConnection);
}

} // namespace oleanderledge
