#pragma once

#include "oleanderledge/storage/storage.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace oleanderledge {

/// Simulates a file system in memory, in which a loss of power may lose what was not synced, while
/// the end of a process loses nothing. Injects write and sync errors.
class MemoryFileSystem : public FileSystem
{
public:
  /// A change of the content that was not synced.
  struct Change
  {
    std::uint64_t offset = 0; ///< The new size, for a truncation.
    std::string bytes;        ///< Empty for a truncation.
  };
  struct Content
  {
    std::string bytes;
    std::string syncedBytes;
    std::vector<Change> unsynced; ///< In order.
  };

  MemoryFileSystem() = default;
  /// Copies the files; neither file system sees later changes of the other.
  MemoryFileSystem(const MemoryFileSystem& aOther);
  MemoryFileSystem& operator=(const MemoryFileSystem&) = delete;

  Result<std::optional<std::string>> Read(const std::string& aPath) override;
  Result<std::unique_ptr<File>> Open(const std::string& aPath) override;
  Result<void> Rename(const std::string& aFrom, const std::string& aTo) override;
  Result<void> SyncFolder(const std::string& aFolder) override;
  Result<void> CreateFolder(const std::string& /*aFolder*/) override
  {
    return boost::outcome_v2::success();
  }
  Result<void> LockFolder(const std::string& /*aFolder*/) override
  {
    return boost::outcome_v2::success();
  }

  /// A loss of power. What was not synced is kept or lost at random and independently: each
  /// created, renamed or removed name, and each write, which may also be torn. At some losses of
  /// power all of it is lost. Ends the injected operation failure.
  void Crash(std::mt19937_64& aRandom);

  /// Ends the injected operation failure, as if another process opened the files of one that was
  /// killed. Nothing is lost.
  void RestartProcess();

  /// The current content of a file, for reading and for injecting damage.
  std::string& Bytes(const std::string& aPath) { return this->contentByPath.at(aPath)->bytes; }
  void Erase(const std::string& aPath) { this->contentByPath.erase(aPath); }

  /// Counts an operation that changes or syncs files. Fails with `aCode` from
  /// `firstFailingOperation` on. `aWhat` names the operation in the error.
  Result<void> BeginOperation(const std::string& aWhat,
                              ResultCode aCode = ResultCode::StorageWriteFailed);

  std::size_t maxAppendBytes = SIZE_MAX; ///< Longer appends are short writes.
  std::size_t freeBytes = SIZE_MAX;      ///< Remaining space; SIZE_MAX for unlimited.
  bool failSyncs = false;                ///< All syncs of files fail.
  std::function<void()> beforeSync;      ///< If set, called before each sync of a file.
  std::size_t operationCount = 0;
  std::optional<std::size_t> firstFailingOperation; ///< Counted from 1.

private:
  /// Gives a path another content, or none.
  void SetName(const std::string& aPath, std::shared_ptr<Content> aContent);

  std::map<std::string, std::shared_ptr<Content>> contentByPath;
  /// The contents that a path has had since the last sync of its folder, beginning with the durable
  /// one; null for none. Only paths that were created, renamed or removed since.
  std::map<std::string, std::vector<std::shared_ptr<Content>>> unsyncedNames;
};

} // namespace oleanderledge
