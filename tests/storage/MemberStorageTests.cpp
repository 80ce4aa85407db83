#include "tests/storage/MemoryFileSystem.hpp"

#include "oleanderledge/consensus/ByteCodec.hpp"
#include "oleanderledge/consensus/consensus.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cstdlib>
#include <filesystem>

using namespace oleanderledge;

namespace {

const std::string kFolder = "data";
const std::string kLogPath = "data/log";

PersistBatch BatchOf(std::uint64_t aTerm, std::vector<LogEntry> aEntries)
{
  PersistBatch batch;
  batch.hardState = { aTerm, "voted-for" };
  batch.entries = std::move(aEntries);
  return batch;
}

PersistBatch SnapshotBatch(std::uint64_t aIndex, std::vector<LogEntry> aEntries)
{
  PersistBatch batch = BatchOf(2, std::move(aEntries));
  batch.snapshot = RaftSnapshot{
    aIndex, 1, std::make_shared<const std::string>(EncodeSnapshotContent({}, "state"))
  };
  return batch;
}

Result<void> PersistOne(MemberStorage& aStorage, const PersistBatch& aBatch)
{
  return aStorage.Persist(std::span(&aBatch, 1));
}

std::unique_ptr<MemberStorage> OpenStorage(FileSystem& aFiles)
{
  auto opened = MemberStorage::Open(aFiles, kFolder);
  REQUIRE(opened);
  return std::move(opened.value());
}

ResultCode OpenCode(FileSystem& aFiles)
{
  const auto opened = MemberStorage::Open(aFiles, kFolder);
  return opened ? ResultCode::Ok : opened.error().code;
}

/// A data folder with three log records: the entries 1, 2 and 3 of term 1.
class WalWithThreeRecords
{
public:
  WalWithThreeRecords()
  {
    const auto storage = OpenStorage(this->files);
    for (std::uint64_t index = 1; index <= 3; ++index) {
      this->starts.at(index - 1) = this->files.Bytes(kLogPath).size();
      REQUIRE(PersistOne(*storage, BatchOf(1, { { 1, index, "command" } })));
    }
    this->bytes = this->files.Bytes(kLogPath);
  }

  MemoryFileSystem files;
  std::array<std::size_t, 3> starts{}; ///< Byte offset of each record in the log file.
  std::string bytes;
};

/// Writes batches with and without snapshots until one fails. Returns how many succeeded (6 if
/// all).
std::size_t WriteHistory(MemberStorage& aStorage)
{
  const std::vector<PersistBatch> batches{
    BatchOf(1, { { 1, 1, "a" } }),
    BatchOf(1, { { 1, 2, "b" }, { 1, 3, "c" } }),
    SnapshotBatch(2, { { 1, 3, "c" } }),
    BatchOf(2, { { 2, 3, "d" } }),
    SnapshotBatch(9, {}),
    BatchOf(3, { { 3, 10, "e" } }),
  };
  std::size_t written = 0;
  for (const PersistBatch& batch : batches) {
    if (!PersistOne(aStorage, batch)) {
      break;
    }
    ++written;
  }
  return written;
}

std::uint64_t SnapshotIndexOf(const PersistentState& aState)
{
  return aState.snapshot ? aState.snapshot->lastIndex : 0;
}

std::uint64_t LastIndexOf(const PersistentState& aState)
{
  if (!aState.entries.empty()) {
    return aState.entries.back().index;
  }
  return SnapshotIndexOf(aState);
}

} // namespace

TEST_CASE("A reopened folder has its identity, hard state, snapshot and entries")
{
  MemoryFileSystem files;
  auto storage = OpenStorage(files);
  const std::string id = storage->MemberId();
  CHECK(id.size() == 32);
  CHECK(WriteHistory(*storage) == 6);
  storage = OpenStorage(files);
  CHECK(storage->MemberId() == id);
  const PersistentState loaded = storage->TakeLoadedState();
  CHECK(loaded.hardState == HardState{ 3, "voted-for" });
  REQUIRE(loaded.snapshot);
  CHECK(loaded.snapshot->lastIndex == 9);
  REQUIRE(loaded.entries.size() == 1);
  CHECK(loaded.entries[0].command == "e");
  MemoryFileSystem other;
  CHECK(OpenStorage(other)->MemberId() != id);
}

// Guards against entries that are loaded after a restart although the leader had replaced them.
TEST_CASE("A later entry replaces stored entries with the same or a higher index")
{
  MemoryFileSystem files;
  const auto storage = OpenStorage(files);
  REQUIRE(PersistOne(*storage, BatchOf(1, { { 1, 1, "a" }, { 1, 2, "b" }, { 1, 3, "c" } })));
  REQUIRE(PersistOne(*storage, BatchOf(2, { { 2, 2, "d" } })));
  const PersistentState loaded = OpenStorage(files)->TakeLoadedState();
  REQUIRE(loaded.entries.size() == 2);
  CHECK(loaded.entries[1].command == "d");
}

// Guards against an instance that cannot start again after a crash in the middle of a write.
TEST_CASE_METHOD(WalWithThreeRecords,
                 "WalTornLastRecordIsCut: only the incomplete last record is lost")
{
  for (std::size_t size = this->starts[2] + 1; size < this->bytes.size(); ++size) {
    this->files.Bytes(kLogPath) = this->bytes.substr(0, size);
    CHECK(OpenStorage(this->files)->TakeLoadedState().entries.size() == 2);
    CHECK(this->files.Bytes(kLogPath).size() == this->starts[2]);
  }
  // A file system may extend a file with zeros before it writes the content.
  this->files.Bytes(kLogPath) = this->bytes + std::string(100, '\0');
  CHECK(OpenStorage(this->files)->TakeLoadedState().entries.size() == 3);
}

// Guards against a member that is back only long after the others, because the last record is large
// and incomplete and each offset in it is checked as the start of another large record: in
// quadratic time this case does not end within the time limit of the test program.
TEST_CASE("Whether a large damaged record is the last one is found in time")
{
  ByteWriter writer;
  for (std::uint64_t route = 0; route < 56'000; ++route) {
    writer.PutString("service-" + std::to_string(route));
    writer.PutString("10.1.0.8:8784");
    writer.PutString("read_your_writes");
    writer.PutU64(1 + route % 10);
    writer.PutU64(250);
    writer.PutU32(3);
  }
  const std::string payload = writer.TakeBytes();
  std::string last = WriteAheadLog::Encode({ "first", payload });
  REQUIRE(last.size() > 3'600'000);
  last.pop_back();
  std::string followed = WriteAheadLog::Encode({ "first", payload, payload });
  followed[last.size() / 2] ^= 0x10;

  const auto torn = WriteAheadLog::Scan(last);
  const auto damaged = WriteAheadLog::Scan(followed);
  REQUIRE(torn);
  CHECK(torn.value().payloads.size() == 1);
  CHECK(torn.value().hasTornTail);
  REQUIRE_FALSE(damaged);
  CHECK(damaged.error().code == ResultCode::StorageCorrupt);
}

// Guards against silently discarding acknowledged records that follow a damaged one, including
// damage to the length field that makes the record appear to extend past the end of the file.
TEST_CASE_METHOD(WalWithThreeRecords,
                 "WalDamageBeforeLastRecordIsReported: opening fails and leaves the log unchanged")
{
  for (std::size_t at = 0; at < this->starts[2]; ++at) {
    for (const unsigned mask : { 0x01U, 0x80U, 0xFFU }) {
      std::string damaged = this->bytes;
      damaged[at] = static_cast<char>(static_cast<unsigned char>(damaged[at]) ^ mask);
      this->files.Bytes(kLogPath) = damaged;
      CHECK(OpenCode(this->files) == ResultCode::StorageCorrupt);
      CHECK(this->files.Bytes(kLogPath) == damaged);
    }
  }
}

// Guards against loading a log from which a whole record is missing.
TEST_CASE_METHOD(WalWithThreeRecords,
                 "WalMissingRecordIsReported: a gap in the record numbers is an error")
{
  this->files.Bytes(kLogPath) =
    this->bytes.substr(0, this->starts[1]) + this->bytes.substr(this->starts[2]);
  CHECK(OpenCode(this->files) == ResultCode::StorageCorrupt);
}

// Guards against a member that loses a file and then votes twice in a term, because its stored vote
// or its identity is gone.
TEST_CASE_METHOD(WalWithThreeRecords, "FolderWithMissingFileIsReported: no new identity is created")
{
  SECTION("log")
  {
    this->files.Erase(kLogPath);
  }
  SECTION("identity")
  {
    this->files.Erase("data/identity");
  }
  CHECK(OpenCode(this->files) == ResultCode::StorageCorrupt);
}

TEST_CASE("A damaged snapshot or identity is reported")
{
  MemoryFileSystem files;
  WriteHistory(*OpenStorage(files));
  const std::string path = GENERATE(std::string("data/snapshot"), std::string("data/identity"));
  const std::string intact = files.Bytes(path);
  for (std::size_t at = 0; at < intact.size(); ++at) {
    files.Bytes(path) = intact;
    files.Bytes(path)[at] ^= 0x10;
    CHECK(OpenCode(files) == ResultCode::StorageCorrupt);
  }
}

// Guards against losing the rest of a record after a short write.
TEST_CASE("Short writes are continued")
{
  MemoryFileSystem files;
  files.maxAppendBytes = 3;
  CHECK(WriteHistory(*OpenStorage(files)) == 6);
  CHECK(LastIndexOf(OpenStorage(files)->TakeLoadedState()) == 10);
}

// Guards against acknowledging data that is not durable: after a failed write or sync the state of
// the file is unknown, and a second sync may report success although the kernel dropped the pages.
TEST_CASE("After a failed sync every further write fails")
{
  MemoryFileSystem files;
  const auto storage = OpenStorage(files);
  REQUIRE(PersistOne(*storage, BatchOf(1, { { 1, 1, "a" } })));
  files.failSyncs = true;
  const auto failed = PersistOne(*storage, BatchOf(1, { { 1, 2, "b" } }));
  REQUIRE_FALSE(failed);
  CHECK(failed.error().code == ResultCode::StorageWriteFailed);
  files.failSyncs = false;
  const std::string bytes = files.Bytes(kLogPath);
  CHECK_FALSE(PersistOne(*storage, BatchOf(1, { { 1, 2, "b" } })));
  CHECK(files.Bytes(kLogPath) == bytes);
  std::mt19937_64 random(1);
  files.Crash(random);
  CHECK(OpenStorage(files)->TakeLoadedState().entries.at(0).command == "a");
}

// Guards against a control instance that ends when its disk is full, and against acknowledging data
// that is not stored: at whatever byte the disk is full, the batches are refused and nothing of
// them counts, also after a crash; once there is room the same batches are stored.
TEST_CASE("Batches that a full disk refused are stored once there is room")
{
  const bool restarts = GENERATE(false, true);
  bool isRefused = true;
  std::size_t refusals = 0;
  for (std::size_t freeBytes = 0; isRefused; ++freeBytes) {
    MemoryFileSystem files;
    auto storage = OpenStorage(files);
    REQUIRE(PersistOne(*storage, BatchOf(1, { { 1, 1, "a" } })));
    PersistBatch snapshot = BatchOf(2, { { 2, 3, "c" } });
    snapshot.snapshot = RaftSnapshot{ 2, 1, std::make_shared<const std::string>("state") };
    const std::vector<PersistBatch> batches{ BatchOf(1, { { 1, 2, "b" } }),
                                             snapshot,
                                             BatchOf(2, { { 2, 4, "d" } }) };
    files.freeBytes = freeBytes;
    const auto refused = storage->Persist(batches);
    isRefused = !refused;
    if (!isRefused) {
      continue;
    }
    ++refusals;
    REQUIRE(refused.error().code == ResultCode::StorageFull);
    if (restarts) {
      std::mt19937_64 random(freeBytes);
      files.Crash(random);
      storage = OpenStorage(files);
      const PersistentState loaded = storage->TakeLoadedState();
      REQUIRE(LastIndexOf(loaded) >= 1);
      REQUIRE(LastIndexOf(loaded) <= 3);
    }
    files.freeBytes = SIZE_MAX;
    REQUIRE(storage->Persist(batches));
    const PersistentState stored = OpenStorage(files)->TakeLoadedState();
    REQUIRE(LastIndexOf(stored) == 4);
    REQUIRE(stored.hardState.term == 2);
    REQUIRE(stored.snapshot.has_value());
    REQUIRE(stored.snapshot->lastIndex == 2);
  }
  CHECK(refusals > 100);
}

// Guards against a folder that cannot be opened after batches with two snapshots were refused by a
// full disk and the process ended at any file operation of the next attempt.
TEST_CASE("A folder can be opened after any end of a repeated write of two snapshots")
{
  const bool losesPower = GENERATE(false, true);
  const std::vector<PersistBatch> batches{
    BatchOf(1, { { 1, 3, "c" } }),
    SnapshotBatch(1, { { 1, 2, "b" }, { 1, 3, "c" } }),
    BatchOf(2, { { 2, 4, "d" }, { 2, 5, "e" }, { 2, 6, "f" } }),
    SnapshotBatch(5, { { 2, 6, "f" } }),
    BatchOf(2, { { 2, 7, "g" } }),
  };
  std::mt19937_64 random(1);
  bool isRefused = true;
  for (std::size_t freeBytes = 0; isRefused; freeBytes += 5) {
    bool hasCompleted = false;
    for (std::size_t endsAt = 1; !hasCompleted; ++endsAt) {
      MemoryFileSystem files;
      {
        const auto storage = OpenStorage(files);
        REQUIRE(PersistOne(*storage, BatchOf(1, { { 1, 1, "a" }, { 1, 2, "b" } })));
        files.freeBytes = freeBytes;
        isRefused = !storage->Persist(batches);
        files.freeBytes = SIZE_MAX;
        files.RestartProcess();
        files.firstFailingOperation = endsAt;
        hasCompleted = storage->Persist(batches).has_value();
      }
      if (losesPower) {
        files.Crash(random);
      } else {
        files.RestartProcess();
      }
      INFO("first " << freeBytes << " free bytes, then an end at operation " << endsAt);
      const auto opened = MemberStorage::Open(files, kFolder);
      if (!opened) {
        FAIL_CHECK(opened.error().message);
        continue;
      }
      CHECK(LastIndexOf(opened.value()->TakeLoadedState()) >= (hasCompleted ? 7 : 2));
    }
  }
}

// Guards against losing an acknowledged batch, or leaving a folder that cannot be opened, in a
// crash between any two file operations.
TEST_CASE("A crash at any file operation keeps every acknowledged batch")
{
  // Last index and term by the number of acknowledged batches of WriteHistory().
  constexpr std::array<std::uint64_t, 7> kLastIndexes{ 0, 1, 3, 3, 3, 9, 10 };
  constexpr std::array<std::uint64_t, 7> kTerms{ 0, 1, 1, 2, 2, 2, 3 };
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    bool hasCompleted = false;
    for (std::size_t firstFailingOperation = 1; !hasCompleted; ++firstFailingOperation) {
      MemoryFileSystem files;
      files.firstFailingOperation = firstFailingOperation;
      std::size_t written = 0;
      {
        auto opened = MemberStorage::Open(files, kFolder);
        written = opened ? WriteHistory(*opened.value()) : 0;
      }
      hasCompleted = written == 6;
      files.Crash(random);
      const auto storage = OpenStorage(files);
      const PersistentState loaded = storage->TakeLoadedState();
      INFO("seed " << seed << ", operation " << firstFailingOperation << ", acknowledged "
                   << written);
      CHECK(LastIndexOf(loaded) >= kLastIndexes.at(written));
      CHECK(loaded.hardState.term >= kTerms.at(written));
      // The folder can be written to again.
      CHECK(PersistOne(*storage, BatchOf(9, {})));
    }
  }
}

/// True if `aState` has everything that `aEarlier` has; it may have further entries and a later
/// snapshot.
bool Includes(const PersistentState& aState, const PersistentState& aEarlier)
{
  const std::uint64_t snapshotIndex = SnapshotIndexOf(aState);
  const bool hasEntries = std::ranges::all_of(aEarlier.entries, [&](const LogEntry& aEntry) {
    return aEntry.index <= snapshotIndex ||
           std::ranges::any_of(aState.entries, [&aEntry](const LogEntry& aEach) {
             return aEach.index == aEntry.index && aEach.term == aEntry.term &&
                    aEach.command == aEntry.command;
           });
  });
  const bool hasHardState =
    aState.hardState == aEarlier.hardState || aState.hardState.term > aEarlier.hardState.term;
  return hasEntries && hasHardState && snapshotIndex >= SnapshotIndexOf(aEarlier) &&
         LastIndexOf(aState) >= LastIndexOf(aEarlier);
}

/// A data folder after a first start that ended within WriteHistory(), and what a second start
/// loaded and stored.
class FolderAfterTwoStarts
{
public:
  /// Each start fails from the given file operation on. Between the two nothing is lost, as after
  /// the end of a process.
  FolderAfterTwoStarts(std::size_t aFirstEndsAt, std::size_t aSecondEndsAt)
  {
    // Short writes, so that a start may also end in the middle of a record.
    this->files.maxAppendBytes = 30;
    this->files.firstFailingOperation = aFirstEndsAt;
    if (auto opened = MemberStorage::Open(this->files, kFolder)) {
      this->firstCompleted = WriteHistory(*opened.value()) == 6;
    }
    this->files.RestartProcess();
    this->files.firstFailingOperation = aSecondEndsAt;
    auto opened = MemberStorage::Open(this->files, kFolder);
    this->secondCompleted = opened && this->WriteMore(*opened.value());
  }

  MemoryFileSystem files;
  bool firstCompleted = false;
  bool secondCompleted = false;
  std::string memberId;     ///< Of the second start; empty if it could not open the folder.
  PersistentState expected; ///< What the second start has loaded and what it has stored.

private:
  /// Writes entries and a snapshot. Returns false once a batch fails.
  bool WriteMore(MemberStorage& aStorage)
  {
    this->memberId = aStorage.MemberId();
    this->expected = aStorage.TakeLoadedState();
    const std::uint64_t last = LastIndexOf(this->expected);
    PersistBatch snapshot = SnapshotBatch(last + 1, { { 4, last + 2, "y" } });
    snapshot.hardState.term = 4;
    snapshot.snapshot->lastTerm = 4;
    const std::vector<PersistBatch> batches{
      BatchOf(4, { { 4, last + 1, "x" } }),
      BatchOf(4, { { 4, last + 2, "y" } }),
      snapshot,
      BatchOf(4, { { 4, last + 3, "z" } }),
    };
    for (const PersistBatch& batch : batches) {
      if (!PersistOne(aStorage, batch)) {
        return false;
      }
      this->expected.hardState = batch.hardState;
      if (batch.snapshot) {
        this->expected.snapshot = batch.snapshot;
        this->expected.entries.clear();
      }
      this->expected.entries.insert(
        this->expected.entries.end(), batch.entries.begin(), batch.entries.end());
    }
    return true;
  }
};

/// Opens folders after two starts that ended at each pair of file operations, the second one by
/// `aEnd`, and checks that nothing is lost that the second start has loaded or stored.
template<class End>
void CheckFoldersAfterTwoStarts(End aEnd)
{
  bool firstCompleted = false;
  for (std::size_t firstEndsAt = 1; !firstCompleted; ++firstEndsAt) {
    bool secondCompleted = false;
    for (std::size_t secondEndsAt = 1; !secondCompleted; ++secondEndsAt) {
      FolderAfterTwoStarts folder(firstEndsAt, secondEndsAt);
      firstCompleted = folder.firstCompleted;
      secondCompleted = folder.secondCompleted;
      aEnd(folder.files);
      INFO("the first start ended at operation " << firstEndsAt << ", the second one at operation "
                                                 << secondEndsAt);
      const auto opened = MemberStorage::Open(folder.files, kFolder);
      if (!opened) {
        FAIL_CHECK(opened.error().message);
        continue;
      }
      if (folder.memberId.empty()) {
        continue;
      }
      CHECK(opened.value()->MemberId() == folder.memberId);
      CHECK(Includes(opened.value()->TakeLoadedState(), folder.expected));
    }
  }
}

// Guards against a log that cannot be read, or that lacks stored entries, because a process was
// killed between the two files of a snapshot and the next one appended to the log before it.
TEST_CASE("What is loaded and stored after a kill at any file operation can be read again")
{
  CheckFoldersAfterTwoStarts([](MemoryFileSystem& aFiles) { aFiles.RestartProcess(); });
}

// Guards against losing the entries that follow a received snapshot, because a killed process left
// a log that conflicts with it.
TEST_CASE("Entries stored after a kill during a snapshot that replaces other entries are kept")
{
  bool hasCompleted = false;
  for (std::size_t endsAt = 1; !hasCompleted; ++endsAt) {
    MemoryFileSystem files;
    {
      const auto storage = OpenStorage(files);
      const std::vector<LogEntry> replaced{ { 1, 1, "a" }, { 1, 2, "b" }, { 1, 3, "c" } };
      REQUIRE(PersistOne(*storage, BatchOf(1, replaced)));
      files.RestartProcess();
      files.firstFailingOperation = endsAt;
      PersistBatch received = SnapshotBatch(2, {});
      received.snapshot->lastTerm = 2;
      hasCompleted = PersistOne(*storage, received).has_value();
      files.RestartProcess();
    }
    const auto storage = OpenStorage(files);
    const PersistentState restarted = storage->TakeLoadedState();
    if (!restarted.snapshot) {
      continue;
    }
    CHECK(restarted.entries.empty());
    const std::vector<LogEntry> following{ { 3, 3, "d" } };
    REQUIRE(PersistOne(*storage, BatchOf(3, following)));
    const PersistentState loaded = OpenStorage(files)->TakeLoadedState();
    INFO("killed at operation " << endsAt);
    CHECK(LastIndexOf(loaded) == 3);
  }
}

// Guards against a member that reads and confirms what a killed process had not synced, and loses
// it, or its identity, in a later loss of power.
TEST_CASE("What is loaded and stored after a kill at any file operation survives a loss of power")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    std::mt19937_64 random(seed);
    INFO("seed " << seed);
    CheckFoldersAfterTwoStarts([&random](MemoryFileSystem& aFiles) { aFiles.Crash(random); });
  }
}

// Guards against appending to the log after a snapshot could not be stored: it is unknown which of
// the two files were replaced.
TEST_CASE("After a failed snapshot every further write fails")
{
  MemoryFileSystem files;
  const auto storage = OpenStorage(files);
  REQUIRE(PersistOne(*storage, BatchOf(1, { { 1, 1, "a" } })));
  files.failSyncs = true;
  REQUIRE_FALSE(PersistOne(*storage, SnapshotBatch(1, {})));
  files.failSyncs = false;
  CHECK_FALSE(PersistOne(*storage, BatchOf(1, { { 1, 2, "b" } })));
}

TEST_CASE(
  "A folder on the real file system can be written and reopened, and is locked while it is open")
{
  std::string pattern = std::filesystem::temp_directory_path() / "ol_test_storage_XXXXXX";
  REQUIRE(::mkdtemp(pattern.data()) != nullptr);
  const std::string folder = pattern + "/member";
  {
    PosixFileSystem files;
    auto opened = MemberStorage::Open(files, folder);
    REQUIRE(opened);
    CHECK(WriteHistory(*opened.value()) == 6);
    PosixFileSystem second;
    const auto refused = MemberStorage::Open(second, folder);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ResultCode::StorageOpenFailed);
  }
  PosixFileSystem files;
  auto opened = MemberStorage::Open(files, folder);
  REQUIRE(opened);
  CHECK(LastIndexOf(opened.value()->TakeLoadedState()) == 10);
  std::filesystem::remove_all(pattern);
}
