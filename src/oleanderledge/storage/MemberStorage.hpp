#pragma once

#include "oleanderledge/consensus/PersistentState.hpp"
#include "oleanderledge/storage/FileSystem.hpp"
#include "oleanderledge/storage/WriteAheadLog.hpp"

#include <memory>
#include <optional>
#include <span>
#include <string>

namespace oleanderledge {

/// The data folder of a control member: the files `identity`, `log` and `snapshot`, and `lock`.
class MemberStorage
{
public:
  /// Opens a folder and creates it, with a new identity, if it is empty. Cuts a torn last record.
  ///
  /// Fails with StorageCorrupt, and leaves the files unchanged, if a file is damaged or missing;
  /// with StorageOpenFailed if the folder is in use or cannot be read; with StorageWriteFailed.
  static Result<std::unique_ptr<MemberStorage>> Open(FileSystem& aFiles,
                                                     const std::string& aFolder);

  /// The identity of this folder.
  const std::string& MemberId() const { return this->memberId; }

  /// What the folder held when it was opened. Can be taken once.
  PersistentState TakeLoadedState() { return std::move(this->loaded); }

  /// Makes batches durable, in order and with as few syncs as possible. Fails with
  /// StorageWriteFailed; after that, nothing more is written and every call fails: the state of the
  /// files is known again only after a restart.
  Result<void> Persist(std::span<const PersistBatch> aBatches);

private:
  MemberStorage(FileSystem& aFiles, std::string aFolder);

  Result<void> Load();
  Result<void> CreateIdentity();
  Result<void> LoadSnapshot();
  Result<void> LoadLog(const std::string& aBytes);
  Result<void> AppendBatches(std::span<const PersistBatch> aBatches);
  Result<void> StoreSnapshot(const PersistBatch& aBatch);
  Result<void> WriteBatches(std::span<const PersistBatch> aBatches);
  std::string PathOf(std::string_view aName) const;

  FileSystem& files;
  std::string folder;
  std::string memberId;
  PersistentState loaded;
  std::optional<WriteAheadLog> wal;
  bool hasFailed = false;
};

} // namespace oleanderledge
