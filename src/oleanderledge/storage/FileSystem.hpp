#pragma once

#include "oleanderledge/base/base.hpp"

#include <boost/outcome/try.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge {

/// An open file. All methods fail with StorageWriteFailed.
class File
{
public:
  virtual ~File() = default;
  /// Appends bytes and returns how many were written, which may be fewer than `aBytes` has.
  virtual Result<std::size_t> Append(std::string_view aBytes) = 0;
  /// Makes the content and size of the file durable (fdatasync).
  virtual Result<void> Sync() = 0;
  /// Cuts the file to `aSize` bytes.
  virtual Result<void> Truncate(std::uint64_t aSize) = 0;
};

/// Interface for file access, so that tests can inject short writes, full disks and sync errors.
class FileSystem
{
public:
  virtual ~FileSystem() = default;
  /// Returns the whole content, or nothing if the file does not exist. Fails with
  /// StorageOpenFailed.
  virtual Result<std::optional<std::string>> Read(const std::string& aPath) = 0;
  /// Opens a file for appending; creates it if it does not exist. Fails with StorageOpenFailed, or
  /// with StorageFull if the disk has no room for it.
  virtual Result<std::unique_ptr<File>> Open(const std::string& aPath) = 0;
  /// Renames a file and replaces the target atomically. Not durable before SyncFolder(). Fails with
  /// StorageWriteFailed.
  virtual Result<void> Rename(const std::string& aFrom, const std::string& aTo) = 0;
  /// Makes files created or renamed in a folder durable under their names. Fails with
  /// StorageWriteFailed.
  virtual Result<void> SyncFolder(const std::string& aFolder) = 0;
  /// Creates a folder and its parents, if they do not exist. Fails with StorageOpenFailed, or with
  /// StorageWriteFailed if its name cannot be made durable.
  virtual Result<void> CreateFolder(const std::string& aFolder) = 0;
  /// Locks a folder until this object is destroyed. Fails with StorageOpenFailed if another
  /// process, or another object of this process, holds the lock, or if the lock file cannot be
  /// opened.
  virtual Result<void> LockFolder(const std::string& aFolder) = 0;
};

/// Appends all bytes; continues after short writes. Fails with StorageWriteFailed.
Result<void> AppendAll(File& aFile, std::string_view aBytes);

/// Replaces a file so that a crash leaves either the old or the new content: writes and syncs a
/// temporary file, renames it and syncs the folder. Fails with StorageOpenFailed or
/// StorageWriteFailed, or with StorageFull if the disk refused the content; the file is then
/// unchanged, and the call may be repeated.
Result<void> ReplaceFile(FileSystem& aFiles,
                         const std::string& aFolder,
                         const std::string& aName,
                         std::string_view aContent);

/// CRC-32 checksum (IEEE polynomial).
std::uint32_t Crc32(std::string_view aBytes);

} // namespace oleanderledge
