#pragma once

#include "oleanderledge/consensus/PersistentState.hpp"
#include "oleanderledge/storage/FileSystem.hpp"
#include "oleanderledge/storage/WriteAheadLog.hpp"

#include <memory>
#include <optional>
#include <span>
#include <string>

namespace oleanderledge {

/// The data folder of a control member, with the files `identity`, `log`, `snapshot` and `lock`.
class MemberStorage
{
public:
  /// Opens a folder. Creates it if it does not exist and gives an empty folder a new member id.
  /// Truncates an incomplete last record of the log. The loaded state and the member id are durable
  /// when this returns, also if an earlier process was killed before it had synced them.
  ///
  /// Fails with StorageCorrupt, and leaves the files unchanged, if a file is damaged or missing;
  /// with StorageOpenFailed if the folder is locked or cannot be read; with StorageWriteFailed or
  /// StorageFull if a write or a sync fails.
  static Result<std::unique_ptr<MemberStorage>> Open(FileSystem& aFiles,
                                                     const std::string& aFolder);

  /// The member id stored in this folder.
  const std::string& MemberId() const { return this->memberId; }

  /// Moves out the state that the folder contained when it was opened. May be called once.
  PersistentState TakeLoadedState() { return std::move(this->loaded); }

  /// Makes batches durable, in order and with as few syncs as possible. Fails with StorageFull if
  /// the disk refused a write; the call may then be repeated with the same batches, and further
  /// ones after them. Fails with StorageWriteFailed or StorageOpenFailed after other errors; from
  /// then on nothing is written and every call fails with StorageWriteFailed, because the state of
  /// the files is unknown until a restart.
  Result<void> Persist(std::span<const PersistBatch> aBatches);

private:
  MemberStorage(FileSystem& aFiles, std::string aFolder);

  Result<void> Load();
  /// Creates the log and identity files of an empty folder.
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
