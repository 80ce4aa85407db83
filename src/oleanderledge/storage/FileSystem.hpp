#pragma once

#include "oleanderledge/base/base.hpp"

#include <boost/outcome/try.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge {

/// An open file. Errors carry StorageWriteFailed.
class File
{
public:
  virtual ~File() = default;
  /// Appends bytes and returns how many were written, which may be fewer than given.
  virtual Result<std::size_t> Append(std::string_view aBytes) = 0;
  /// Returns once the content and length are durable (fdatasync).
  virtual Result<void> Sync() = 0;
  virtual Result<void> Truncate(std::uint64_t aSize) = 0;
};

/// Access to files, so that tests can inject short writes, full disks and sync errors.
class FileSystem
{
public:
  virtual ~FileSystem() = default;
  /// The whole content, or nothing if the file does not exist. Fails with StorageOpenFailed.
  virtual Result<std::optional<std::string>> Read(const std::string& aPath) = 0;
  /// Opens a file for appending and creates it if needed. Fails with StorageOpenFailed.
  virtual Result<std::unique_ptr<File>> Open(const std::string& aPath) = 0;
  /// Replaces the target atomically. Fails with StorageWriteFailed.
  virtual Result<void> Rename(const std::string& aFrom, const std::string& aTo) = 0;
  virtual Result<void> Remove(const std::string& aPath) = 0;
  /// Makes names created or renamed in a folder durable.
  virtual Result<void> SyncFolder(const std::string& aFolder) = 0;
  /// Creates a folder and its parents. Fails with StorageOpenFailed.
  virtual Result<void> CreateFolder(const std::string& aFolder) = 0;
  /// Claims a folder for this process until the end of the object. Fails with StorageOpenFailed if
  /// another process holds it.
  virtual Result<void> LockFolder(const std::string& aFolder) = 0;
};

/// Writes all bytes, going on after short writes. Fails with StorageWriteFailed.
Result<void> AppendAll(File& aFile, std::string_view aBytes);

/// Writes a file under a temporary name, syncs it, renames it and syncs the folder, so that a crash
/// leaves either the old or the new content.
Result<void> ReplaceFile(FileSystem& aFiles,
                         const std::string& aFolder,
                         const std::string& aName,
                         std::string_view aContent);

/// CRC-32 (IEEE) of some bytes.
std::uint32_t Crc32(std::string_view aBytes);

} // namespace oleanderledge
