#pragma once

#include "oleanderledge/storage/FileSystem.hpp"

#include <string>

namespace oleanderledge {

/// FileSystem on POSIX file operations. An object can lock one folder.
class PosixFileSystem : public FileSystem
{
public:
  PosixFileSystem() = default;
  PosixFileSystem(const PosixFileSystem&) = delete;
  PosixFileSystem& operator=(const PosixFileSystem&) = delete;
  ~PosixFileSystem() override;

  Result<std::optional<std::string>> Read(const std::string& aPath) override;
  Result<std::unique_ptr<File>> Open(const std::string& aPath) override;
  Result<void> Rename(const std::string& aFrom, const std::string& aTo) override;
  Result<void> SyncFolder(const std::string& aFolder) override;
  Result<void> CreateFolder(const std::string& aFolder) override;
  Result<void> LockFolder(const std::string& aFolder) override;

private:
  int lockDescriptor = -1; ///< Open descriptor of the lock file; -1 for none.
};

} // namespace oleanderledge
