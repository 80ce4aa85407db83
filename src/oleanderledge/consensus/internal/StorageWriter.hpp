#pragma once

#include "oleanderledge/storage/storage.hpp"

#include <QObject>
#include <QThread>

#include <functional>
#include <vector>

namespace oleanderledge {

/// Stores batches in a thread of its own, so that a slow disk does not delay the messages and
/// timers of the control thread, in which all methods are called.
class StorageWriter : public QObject
{
public:
  /// A write that has ended.
  struct Written
  {
    std::vector<PersistBatch> batches;
    Result<void> result; ///< Of MemberStorage::Persist().
    Duration took{ 0 };
  };
  /// Called in the control thread.
  using Callback = std::function<void(Written)>;

  /// `aStorage` must outlive the writer, and nobody else may use it during a write.
  StorageWriter(MemberStorage& aStorage, Callback aOnWritten);
  /// Waits for the write in progress.
  ~StorageWriter() override;
  StorageWriter(const StorageWriter&) = delete;
  StorageWriter& operator=(const StorageWriter&) = delete;

  /// True from Store() until the callback.
  bool IsBusy() const { return this->isBusy; }
  /// Starts a write. Must not be called while the writer is busy.
  void Store(std::vector<PersistBatch> aBatches);

private:
  MemberStorage& storage;
  Callback onWritten;
  QThread thread;
  QObject worker; ///< Lives in `thread`.
  bool isBusy = false;
};

} // namespace oleanderledge
