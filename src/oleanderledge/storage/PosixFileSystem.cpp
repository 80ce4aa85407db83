#include "oleanderledge/storage/PosixFileSystem.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <filesystem>
#include <system_error>

namespace oleanderledge {

namespace {

constexpr mode_t kFileMode = 0640;
constexpr std::size_t kReadBufferBytes = std::size_t{ 64 } * 1024;

std::string ErrorText(const std::string& aWhat)
{
  return aWhat + ": " + std::generic_category().message(errno);
}

class PosixFile : public File
{
public:
  PosixFile(int aDescriptor, std::string aPath)
    : descriptor(aDescriptor)
    , path(std::move(aPath))
  {
  }
  PosixFile(const PosixFile&) = delete;
  PosixFile& operator=(const PosixFile&) = delete;
  ~PosixFile() override { ::close(this->descriptor); }

  Result<std::size_t> Append(std::string_view aBytes) override
  {
    while (true) {
      const ssize_t written = ::write(this->descriptor, aBytes.data(), aBytes.size());
      if (written >= 0) {
        return static_cast<std::size_t>(written);
      }
      if (errno != EINTR) {
        return Fail(ResultCode::StorageWriteFailed, ErrorText("write " + this->path));
      }
    }
  }

  Result<void> Sync() override
  {
    // Not retried after an error: the kernel may have dropped the dirty pages, and a second call
    // would then report success.
    if (::fdatasync(this->descriptor) != 0) {
      return Fail(ResultCode::StorageWriteFailed, ErrorText("fdatasync " + this->path));
    }
    return boost::outcome_v2::success();
  }

  Result<void> Truncate(std::uint64_t aSize) override
  {
    if (::ftruncate(this->descriptor, static_cast<off_t>(aSize)) != 0) {
      return Fail(ResultCode::StorageWriteFailed, ErrorText("ftruncate " + this->path));
    }
    return boost::outcome_v2::success();
  }

private:
  int descriptor;
  std::string path;
};

} // namespace

PosixFileSystem::~PosixFileSystem()
{
  if (this->lockDescriptor >= 0) {
    ::close(this->lockDescriptor);
  }
}

Result<std::optional<std::string>> PosixFileSystem::Read(const std::string& aPath)
{
  const int descriptor = ::open(aPath.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) {
    if (errno == ENOENT) {
      return std::optional<std::string>{};
    }
    return Fail(ResultCode::StorageOpenFailed, ErrorText("open " + aPath));
  }
  const PosixFile file(descriptor, aPath);
  std::string content;
  std::array<char, kReadBufferBytes> buffer{};
  while (true) {
    const ssize_t count = ::read(descriptor, buffer.data(), buffer.size());
    if (count == 0) {
      return std::optional<std::string>(std::move(content));
    }
    if (count < 0 && errno != EINTR) {
      return Fail(ResultCode::StorageOpenFailed, ErrorText("read " + aPath));
    }
    if (count > 0) {
      content.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }
}

Result<std::unique_ptr<File>> PosixFileSystem::Open(const std::string& aPath)
{
  const int descriptor =
    ::open(aPath.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kFileMode);
  if (descriptor < 0) {
    const ResultCode code =
      errno == ENOSPC ? ResultCode::StorageFull : ResultCode::StorageOpenFailed;
    return Fail(code, ErrorText("open " + aPath));
  }
  return std::unique_ptr<File>(std::make_unique<PosixFile>(descriptor, aPath));
}

Result<void> PosixFileSystem::Rename(const std::string& aFrom, const std::string& aTo)
{
  if (::rename(aFrom.c_str(), aTo.c_str()) != 0) {
    return Fail(ResultCode::StorageWriteFailed, ErrorText("rename " + aFrom));
  }
  return boost::outcome_v2::success();
}

Result<void> PosixFileSystem::SyncFolder(const std::string& aFolder)
{
  const int descriptor = ::open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) {
    return Fail(ResultCode::StorageWriteFailed, ErrorText("open " + aFolder));
  }
  const bool isSynced = ::fsync(descriptor) == 0;
  const std::string error = isSynced ? std::string{} : ErrorText("fsync " + aFolder);
  ::close(descriptor);
  if (!isSynced) {
    return Fail(ResultCode::StorageWriteFailed, error);
  }
  return boost::outcome_v2::success();
}

Result<void> PosixFileSystem::CreateFolder(const std::string& aFolder)
{
  std::error_code error;
  std::filesystem::create_directories(aFolder, error);
  if (error) {
    return Fail(ResultCode::StorageOpenFailed, aFolder + ": " + error.message());
  }
  // The entry in the parent folder must be durable too, or a crash could lose the whole folder.
  const auto parent = std::filesystem::absolute(aFolder, error).parent_path();
  return error ? Fail(ResultCode::StorageOpenFailed, aFolder + ": " + error.message())
               : this->SyncFolder(parent.string());
}

Result<void> PosixFileSystem::LockFolder(const std::string& aFolder)
{
  const std::string path = aFolder + "/lock";
  this->lockDescriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (this->lockDescriptor < 0) {
    return Fail(ResultCode::StorageOpenFailed, ErrorText("open " + path));
  }
  if (::flock(this->lockDescriptor, LOCK_EX | LOCK_NB) != 0) {
    return Fail(ResultCode::StorageOpenFailed, ErrorText("lock " + path));
  }
  return boost::outcome_v2::success();
}

} // namespace oleanderledge
