#pragma once

#include "oleanderledge/storage/storage.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace oleanderledge {

/// Simulates a file system in memory, in which a crash may lose what was not synced. Injects write
/// and sync errors.
class MemoryFileSystem : public FileSystem
{
public:
  struct Content
  {
    std::string bytes;
    std::string syncedBytes;
  };

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

  /// Loses, at random, created and renamed files whose folder was not synced, and unsynced bytes at
  /// the end of files. Ends the injected operation failure.
  void Crash(std::mt19937_64& aRandom);

  /// The current content of a file, for reading and for injecting damage.
  std::string& Bytes(const std::string& aPath) { return this->contentByPath.at(aPath)->bytes; }
  void Erase(const std::string& aPath) { this->contentByPath.erase(aPath); }

  /// Counts an operation that changes files. Fails from `firstFailingOperation` on. `aWhat` names
  /// the operation in the error.
  Result<void> BeginOperation(const std::string& aWhat);

  std::size_t maxAppendBytes = SIZE_MAX; ///< Longer appends are short writes.
  std::size_t freeBytes = SIZE_MAX;      ///< Remaining space; SIZE_MAX for unlimited.
  bool failSyncs = false;                ///< All syncs of files fail.
  std::function<void()> beforeSync;      ///< If set, called before each sync of a file.
  std::size_t operationCount = 0;
  std::optional<std::size_t> firstFailingOperation; ///< Counted from 1.

private:
  std::map<std::string, std::shared_ptr<Content>> contentByPath;
  std::map<std::string, std::shared_ptr<Content>> syncedContentByPath;
};

} // namespace oleanderledge
