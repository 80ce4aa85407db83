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
    const std::string_view written = aBytes.substr(0, count);
    this->content->unsynced.push_back({ this->content->bytes.size(), std::string(written) });
    this->content->bytes.append(written);
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
    this->content->unsynced.clear();
    return boost::outcome_v2::success();
  }

  Result<void> Truncate(std::uint64_t aSize) override
  {
    BOOST_OUTCOME_TRY(this->files.BeginOperation("truncate"));
    this->content->unsynced.push_back({ aSize, {} });
    this->content->bytes.resize(aSize);
    return boost::outcome_v2::success();
  }

private:
  MemoryFileSystem& files;
  std::shared_ptr<MemoryFileSystem::Content> content;
};

/// The content of a file after a loss of power that did not lose all unsynced writes.
std::string KeptBytes(const MemoryFileSystem::Content& aContent, std::mt19937_64& aRandom)
{
  std::string kept = aContent.syncedBytes;
  for (const auto& [offset, bytes] : aContent.unsynced) {
    const auto fate = aRandom() % 4;
    if (fate == 0) {
      continue;
    }
    if (bytes.empty()) {
      kept.resize(offset);
      continue;
    }
    // Only a part of a torn write reaches the disk: its beginning, or a range in the middle.
    const bool isTorn = fate == 1;
    const std::size_t first = isTorn && aRandom() % 2 == 0 ? aRandom() % bytes.size() : 0;
    const std::size_t count = isTorn ? aRandom() % (bytes.size() - first + 1) : bytes.size();
    kept.resize(std::max<std::size_t>(kept.size(), offset + first + count));
    kept.replace(offset + first, count, bytes, first, count);
  }
  return kept;
}

} // namespace

MemoryFileSystem::MemoryFileSystem(const MemoryFileSystem& aOther)
  : maxAppendBytes(aOther.maxAppendBytes)
  , freeBytes(aOther.freeBytes)
  , failSyncs(aOther.failSyncs)
  , beforeSync(aOther.beforeSync)
  , operationCount(aOther.operationCount)
  , firstFailingOperation(aOther.firstFailingOperation)
  , contentByPath(aOther.contentByPath)
  , unsyncedNames(aOther.unsyncedNames)
{
  std::map<std::shared_ptr<Content>, std::shared_ptr<Content>> copies;
  const auto replace = [&copies](std::shared_ptr<Content>& aContent) {
    if (aContent == nullptr) {
      return;
    }
    auto& copy = copies[aContent];
    if (copy == nullptr) {
      copy = std::make_shared<Content>(*aContent);
    }
    aContent = copy;
  };
  for (auto& [path, content] : this->contentByPath) {
    replace(content);
  }
  for (auto& [path, history] : this->unsyncedNames) {
    std::ranges::for_each(history, replace);
  }
}

Result<void> MemoryFileSystem::BeginOperation(const std::string& aWhat, ResultCode aCode)
{
  ++this->operationCount;
  if (this->firstFailingOperation && this->operationCount >= *this->firstFailingOperation) {
    return Fail(aCode, aWhat + " failed");
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
  if (!this->contentByPath.contains(aPath)) {
    BOOST_OUTCOME_TRY(this->BeginOperation("create", ResultCode::StorageOpenFailed));
    this->SetName(aPath, std::make_shared<Content>());
  }
  return std::unique_ptr<File>(std::make_unique<MemoryFile>(*this, this->contentByPath.at(aPath)));
}

Result<void> MemoryFileSystem::Rename(const std::string& aFrom, const std::string& aTo)
{
  BOOST_OUTCOME_TRY(this->BeginOperation("rename"));
  this->SetName(aTo, this->contentByPath.at(aFrom));
  this->SetName(aFrom, nullptr);
  return boost::outcome_v2::success();
}

Result<void> MemoryFileSystem::SyncFolder(const std::string& /*aFolder*/)
{
  BOOST_OUTCOME_TRY(this->BeginOperation("sync folder"));
  this->unsyncedNames.clear();
  return boost::outcome_v2::success();
}

void MemoryFileSystem::SetName(const std::string& aPath, std::shared_ptr<Content> aContent)
{
  auto& history = this->unsyncedNames[aPath];
  const auto found = this->contentByPath.find(aPath);
  if (history.empty()) {
    history.push_back(found == this->contentByPath.end() ? nullptr : found->second);
  }
  history.push_back(aContent);
  if (aContent) {
    this->contentByPath[aPath] = std::move(aContent);
  } else {
    this->contentByPath.erase(aPath);
  }
}

void MemoryFileSystem::Crash(std::mt19937_64& aRandom)
{
  const bool losesAll = aRandom() % 4 == 0;
  for (const auto& [path, history] : this->unsyncedNames) {
    const auto& kept = history.at(losesAll ? 0 : aRandom() % history.size());
    if (kept) {
      this->contentByPath[path] = kept;
    } else {
      this->contentByPath.erase(path);
    }
  }
  // A file of which a rename is only partly durable has two names; these do not share later writes.
  for (auto& [path, content] : this->contentByPath) {
    const std::string bytes = losesAll ? content->syncedBytes : KeptBytes(*content, aRandom);
    content = std::make_shared<Content>(Content{ bytes, bytes, {} });
  }
  this->unsyncedNames.clear();
  this->RestartProcess();
}

void MemoryFileSystem::RestartProcess()
{
  this->firstFailingOperation.reset();
  this->operationCount = 0;
}

} // namespace oleanderledge
