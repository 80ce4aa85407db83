#pragma once

#include "oleanderledge/storage/storage.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace oleanderledge {

/// Files in memory that keep only what was synced over a crash, with faults on demand.
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

  /// Drops names that were not synced, and a random part of bytes that were not.
  void Crash(std::mt19937_64& aRandom);

  /// The bytes of a file, to inspect and damage them.
  std::string& Bytes(const std::string& aPath) { return this->contentByPath.at(aPath)->bytes; }
  void Erase(const std::string& aPath) { this->contentByPath.erase(aPath); }

  /// Counts a changing operation; fails if it is the one that is to fail, and all that follow it.
  Result<void> BeginOperation(const std::string& aWhat);

  std::size_t maxAppendBytes = SIZE_MAX; ///< Longer appends are short.
  std::size_t freeBytes = SIZE_MAX;      ///< Appends beyond this fail as on a full disk.
  bool failSyncs = false;
  std::size_t operationCount = 0;
  std::optional<std::size_t> firstFailingOperation; ///< Number of the first operation that fails.

private:
  std::map<std::string, std::shared_ptr<Content>> contentByPath;
  std::map<std::string, std::shared_ptr<Content>> syncedContentByPath;
};

} // namespace oleanderledge
