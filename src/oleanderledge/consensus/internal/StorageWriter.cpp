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
  QMetaObject::invokeMethod(
    &this->worker,
    [this, batches = std::move(aBatches)]() mutable {
      const Instant startedAt = MonotonicNow();
      Result<void> result = this->storage.Persist(batches);
      Written written{ std::move(batches), std::move(result), MonotonicNow() - startedAt };
      QMetaObject::invokeMethod(
        this,
        [this, written = std::move(written)]() mutable {
          this->isBusy = false;
          this->onWritten(std::move(written));
        },
        Qt::QueuedConnection);
    },
    Qt::QueuedConnection);
}

} // namespace oleanderledge
