#include "tests/storage/MemoryFileSystem.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

class MemoryFile : public File
{
public:
  MemoryFile(MemoryFileSystem& aFiles, std::shared_ptr<MemoryFileSystem::Content> aContent)
    : files(aFiles)
    , content(std::move(aContent))
  {
  }

  Result<std::size_t> Append(std::string_view aBytes) override
  {
    BOOST_OUTCOME_TRY(this->files.BeginOperation("append"));
    const std::size_t count =
      std::min({ aBytes.size(), this->files.maxAppendBytes, this->files.freeBytes });
    if (count == 0) {
      return Fail(ResultCode::StorageWriteFailed, "no space left on device");
    }
    this->files.freeBytes -= this->files.freeBytes == SIZE_MAX ? 0 : count;
    this->content->bytes.append(aBytes.substr(0, count));
    return count;
  }

  Result<void> Sync() override
  {
    BOOST_OUTCOME_TRY(this->files.BeginOperation("sync"));
    if (this->files.beforeSync) {
      this->files.beforeSync();
    }
    if (this->files.failSyncs) {
      return Fail(ResultCode::StorageWriteFailed, "input/output error");
    }
    this->content->syncedBytes = this->content->bytes;
    return boost::outcome_v2::success();
  }

  Result<void> Truncate(std::uint64_t aSize) override
  {
    BOOST_OUTCOME_TRY(this->files.BeginOperation("truncate"));
    this->content->bytes.resize(aSize);
    return boost::outcome_v2::success();
  }

private:
  MemoryFileSystem& files;
  std::shared_ptr<MemoryFileSystem::Content> content;
};

} // namespace

Result<void> MemoryFileSystem::BeginOperation(const std::string& aWhat)
{
  ++this->operationCount;
  if (this->firstFailingOperation && this->operationCount >= *this->firstFailingOperation) {
    return Fail(ResultCode::StorageWriteFailed, aWhat + " failed");
  }
  return boost::outcome_v2::success();
}

Result<std::optional<std::string>> MemoryFileSystem::Read(const std::string& aPath)
{
  const auto found = this->contentByPath.find(aPath);
  return found == this->contentByPath.end() ? std::optional<std::string>{}
                                            : std::optional<std::string>(found->second->bytes);
}

Result<std::unique_ptr<File>> MemoryFileSystem::Open(const std::string& aPath)
{
  auto& content = this->contentByPath[aPath];
  if (!content) {
    content = std::make_shared<Content>();
  }
  return std::unique_ptr<File>(std::make_unique<MemoryFile>(*this, content));
}

Result<void> MemoryFileSystem::Rename(const std::string& aFrom, const std::string& aTo)
{
  BOOST_OUTCOME_TRY(this->BeginOperation("rename"));
  this->contentByPath[aTo] = this->contentByPath.at(aFrom);
  this->contentByPath.erase(aFrom);
  return boost::outcome_v2::success();
}

Result<void> MemoryFileSystem::SyncFolder(const std::string& /*aFolder*/)
{
  BOOST_OUTCOME_TRY(this->BeginOperation("sync folder"));
  this->syncedContentByPath = this->contentByPath;
  return boost::outcome_v2::success();
}

void MemoryFileSystem::Crash(std::mt19937_64& aRandom)
{
  // Renames that were not synced may or may not have reached the disk.
  if (aRandom() % 2 == 0) {
    this->contentByPath = this->syncedContentByPath;
  }
  for (auto& [path, content] : this->contentByPath) {
    std::string kept = content->syncedBytes;
    if (content->bytes.starts_with(kept)) {
      const std::size_t unsynced = content->bytes.size() - kept.size();
      kept = content->bytes.substr(0, kept.size() + aRandom() % (unsynced + 1));
    }
    content->bytes = kept;
    content->syncedBytes = kept;
  }
  this->syncedContentByPath = this->contentByPath;
  this->firstFailingOperation.reset();
  this->operationCount = 0;
}

} // namespace oleanderledge
