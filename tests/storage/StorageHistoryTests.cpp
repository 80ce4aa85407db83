#include "tests/storage/MemoryFileSystem.hpp"

#include "oleanderledge/consensus/consensus.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oleanderledge;

namespace {

const std::string kFolder = "data";

/// The log of a member as its node has it in memory.
struct MemberLog
{
  std::uint64_t SnapshotIndex() const { return this->snapshot ? this->snapshot->lastIndex : 0; }
  std::uint64_t LastIndex() const { return this->SnapshotIndex() + this->entries.size(); }

  /// The term of an entry that the snapshot does not cover; 0 if there is none.
  std::uint64_t TermAt(std::uint64_t aIndex) const
  {
    const bool isStored = aIndex > this->SnapshotIndex() && aIndex <= this->LastIndex();
    return isStored ? this->entries[aIndex - this->SnapshotIndex() - 1].term : 0;
  }

  HardState hardState;
  std::optional<RaftSnapshot> snapshot;
  std::vector<LogEntry> entries;
};

/// A member that changes its log at random, as a node does, on a disk that may be full, and whose
/// process may be killed or lose power at any file operation. After each start, it checks what was
/// loaded.
class RandomMember
{
public:
  explicit RandomMember(std::uint64_t aSeed)
    : random(aSeed)
  {
    this->files.maxAppendBytes = this->IsOneOf(2) ? SIZE_MAX : 20;
  }

  void Run(std::size_t aSteps)
  {
    for (std::size_t step = 0; step < aSteps; ++step) {
      if (!this->storage) {
        this->Start();
        continue;
      }
      const std::uint64_t changes = this->Between(1, 3);
      for (std::uint64_t count = 0; count < changes; ++count) {
        this->ChangeLog();
      }
      if (!this->pending.empty()) {
        this->Persist();
      }
    }
  }

  std::size_t startCount = 0;
  std::size_t refusalCount = 0;

private:
  std::uint64_t Between(std::uint64_t aLow, std::uint64_t aHigh)
  {
    return aLow + this->random() % (aHigh - aLow + 1);
  }
  bool IsOneOf(std::uint64_t aCount) { return this->random() % aCount == 0; }

  void ChangeLog()
  {
    switch (this->Between(0, 4)) {
      case 0:
        this->AppendFrom(this->log.LastIndex() + 1);
        break;
      case 1:
        // Another leader replaces entries that are not committed.
        this->EnterNewTerm();
        this->AppendFrom(this->Between(this->committed, this->log.LastIndex()) + 1);
        break;
      case 2:
        this->EnterNewTerm();
        this->AddBatch({});
        break;
      case 3:
        if (this->committed > this->log.SnapshotIndex()) {
          this->Compact(this->Between(this->log.SnapshotIndex() + 1, this->committed));
        }
        break;
      default:
        this->ReceiveSnapshot(this->Between(this->committed, this->log.LastIndex()) +
                              this->Between(1, 3));
    }
  }

  void EnterNewTerm()
  {
    this->log.hardState = { this->log.hardState.term + 1, std::to_string(this->random() % 5) };
  }

  void AppendFrom(std::uint64_t aIndex)
  {
    this->log.entries.resize(aIndex - this->log.SnapshotIndex() - 1);
    this->firstReplaced = std::min(this->firstReplaced, aIndex);
    std::vector<LogEntry> appended;
    const std::uint64_t count = this->Between(1, 3);
    for (std::uint64_t index = aIndex; index < aIndex + count; ++index) {
      appended.push_back({ this->log.hardState.term, index, "command" });
    }
    this->log.entries.insert(this->log.entries.end(), appended.begin(), appended.end());
    this->AddBatch(std::move(appended));
  }

  void Compact(std::uint64_t aIndex)
  {
    const std::uint64_t term = this->log.TermAt(aIndex);
    const auto covered = static_cast<std::ptrdiff_t>(aIndex - this->log.SnapshotIndex());
    this->log.entries.erase(this->log.entries.begin(), this->log.entries.begin() + covered);
    this->SetSnapshot(aIndex, term);
  }

  void ReceiveSnapshot(std::uint64_t aIndex)
  {
    this->EnterNewTerm();
    this->log.entries.clear();
    this->firstReplaced = std::min(this->firstReplaced, this->committed + 1);
    this->committed = aIndex;
    this->SetSnapshot(aIndex, this->log.hardState.term);
  }

  void SetSnapshot(std::uint64_t aIndex, std::uint64_t aTerm)
  {
    const auto content =
      std::make_shared<const std::string>(EncodeSnapshotContent({}, std::to_string(aIndex)));
    this->log.snapshot = RaftSnapshot{ aIndex, aTerm, content };
    this->AddBatch(this->log.entries);
    this->pending.back().snapshot = this->log.snapshot;
  }

  void AddBatch(std::vector<LogEntry> aEntries)
  {
    this->pending.push_back({ 0, this->log.hardState, std::nullopt, std::move(aEntries) });
  }

  void Persist()
  {
    this->files.RestartProcess();
    if (this->IsOneOf(3)) {
      this->files.firstFailingOperation = this->Between(1, 12);
    }
    this->files.freeBytes = this->IsOneOf(3) ? this->Between(0, 400) : SIZE_MAX;
    const auto written = this->storage->Persist(this->pending);
    this->files.freeBytes = SIZE_MAX;
    if (written) {
      this->pending.clear();
      this->firstReplaced = UINT64_MAX;
      this->durable = this->log;
      this->committed = this->Between(this->committed, this->log.LastIndex());
    } else if (written.error().code == ResultCode::StorageFull) {
      ++this->refusalCount;
    } else {
      this->EndProcess();
      return;
    }
    if (this->IsOneOf(5)) {
      this->EndProcess();
    }
  }

  void EndProcess()
  {
    this->storage.reset();
    if (this->IsOneOf(2)) {
      this->files.Crash(this->random);
    }
    this->files.RestartProcess();
  }

  void Start()
  {
    // A new folder needs room; an existing one is opened on a full disk as well.
    const bool isFull = !this->memberId.empty() && this->IsOneOf(3);
    const bool isInterrupted = this->IsOneOf(2);
    this->files.freeBytes = isFull ? 0 : SIZE_MAX;
    if (isInterrupted) {
      this->files.firstFailingOperation = this->Between(1, 10);
    }
    auto opened = MemberStorage::Open(this->files, kFolder);
    if (!opened) {
      CHECK((isInterrupted ? "" : opened.error().message).empty());
      CHECK(opened.error().code != ResultCode::StorageCorrupt);
      this->EndProcess();
      return;
    }
    ++this->startCount;
    this->storage = std::move(opened.value());
    CHECK((this->memberId.empty() || this->memberId == this->storage->MemberId()));
    this->memberId = this->storage->MemberId();
    this->Check(this->storage->TakeLoadedState());
  }

  /// Checks and continues with the loaded state.
  void Check(PersistentState aLoaded)
  {
    const MemberLog loaded{ aLoaded.hardState, std::move(aLoaded.snapshot), aLoaded.entries };
    const HardState& durableState = this->durable.hardState;
    CHECK((loaded.hardState == durableState || loaded.hardState.term > durableState.term));
    CHECK(loaded.SnapshotIndex() >= this->durable.SnapshotIndex());
    // Batches that were not confirmed may have replaced some entries.
    const std::uint64_t kept = std::min(this->durable.LastIndex(), this->firstReplaced - 1);
    CHECK(loaded.LastIndex() >= kept);
    for (std::uint64_t index = loaded.SnapshotIndex() + 1; index <= kept; ++index) {
      CHECK(loaded.TermAt(index) == this->durable.TermAt(index));
    }
    std::uint64_t term = loaded.snapshot ? loaded.snapshot->lastTerm : 0;
    for (const LogEntry& entry : loaded.entries) {
      CHECK(entry.term >= term);
      term = entry.term;
    }
    if (this->pending.empty()) {
      CHECK(loaded.hardState == durableState);
      CHECK(loaded.LastIndex() == this->durable.LastIndex());
      CHECK(loaded.SnapshotIndex() == this->durable.SnapshotIndex());
    }
    this->log = loaded;
    // See RaftNode::RaftNode().
    if (this->log.hardState.term < term) {
      this->log.hardState = { term, {} };
    }
    this->durable = loaded;
    this->pending.clear();
    this->firstReplaced = UINT64_MAX;
    this->committed =
      std::max(loaded.SnapshotIndex(), std::min(this->committed, loaded.LastIndex()));
  }

  std::mt19937_64 random;
  MemoryFileSystem files;
  std::unique_ptr<MemberStorage> storage; ///< Null while no process runs.
  std::string memberId;
  MemberLog log;
  MemberLog durable; ///< As of the last write that succeeded, or the last start.
  std::vector<PersistBatch> pending;
  std::uint64_t firstReplaced = UINT64_MAX; ///< Lowest index that a pending batch replaces.
  std::uint64_t committed = 0;
};

} // namespace

// Guards against a folder that cannot be opened again, or that lacks what was loaded or stored,
// after any sequence of kills, losses of power and writes that a full disk refused.
TEST_CASE("Random histories of a data folder lose nothing that was loaded or stored")
{
  std::size_t startCount = 0;
  std::size_t refusalCount = 0;
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    INFO("seed " << seed);
    RandomMember member(seed);
    member.Run(40);
    startCount += member.startCount;
    refusalCount += member.refusalCount;
  }
  CHECK(startCount > 10'000);
  CHECK(refusalCount > 1000);
}
