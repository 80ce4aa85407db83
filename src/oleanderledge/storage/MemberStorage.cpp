#include "oleanderledge/storage/MemberStorage.hpp"

#include "oleanderledge/consensus/ByteCodec.hpp"
#include "oleanderledge/link/Codec.hpp"
#include "oleanderledge/storage/MemberIdentity.hpp"
#include "oleanderledge/storage/SnapshotFile.hpp"

namespace oleanderledge {

namespace {

constexpr std::string_view kIdentityFileName = "identity";
constexpr std::string_view kLogFileName = "log";
constexpr std::string_view kSnapshotFileName = "snapshot";

/// Encodes the payload of one log record: the hard state, then the entries of the batches. Each
/// entry replaces all earlier ones with the same or a higher index.
std::string EncodePayload(const HardState& aHardState, std::span<const PersistBatch> aBatches)
{
  ByteWriter writer;
  writer.PutU64(aHardState.term);
  writer.PutString(aHardState.vote);
  for (const PersistBatch& batch : aBatches) {
    for (const LogEntry& entry : batch.entries) {
      writer.PutString(EncodeStruct(entry));
    }
  }
  return writer.TakeBytes();
}

/// Removes the entries with the same or a higher index than `aEntry` and appends it, unless the
/// snapshot covers it or conflicts with it: a crash between the two writes of StoreSnapshot()
/// leaves a log that is older than the snapshot, and the entries stored after the restart follow
/// the snapshot. Fails with StorageCorrupt if an index is skipped.
Result<void> AppendEntry(PersistentState& aState, LogEntry aEntry)
{
  std::vector<LogEntry>& entries = aState.entries;
  while (!entries.empty() && entries.back().index >= aEntry.index) {
    entries.pop_back();
  }
  const std::uint64_t snapshotIndex = aState.snapshot ? aState.snapshot->lastIndex : 0;
  const std::uint64_t snapshotTerm = aState.snapshot ? aState.snapshot->lastTerm : 0;
  // What a snapshot covers is committed, so no entry of an earlier term follows it.
  if (aEntry.index <= snapshotIndex || aEntry.term < snapshotTerm) {
    return boost::outcome_v2::success();
  }
  const std::uint64_t next = (entries.empty() ? snapshotIndex : entries.back().index) + 1;
  if (aEntry.index != next) {
    return Fail(ResultCode::StorageCorrupt, "entry " + std::to_string(next) + " is missing");
  }
  entries.push_back(std::move(aEntry));
  return boost::outcome_v2::success();
}

/// Applies the payload of one log record to `aState`, which has its snapshot already. Fails with
/// StorageCorrupt.
Result<void> DecodePayload(std::string_view aPayload, PersistentState& aState)
{
  ByteReader reader(aPayload);
  aState.hardState.term = reader.GetU64();
  aState.hardState.vote = reader.GetString();
  while (reader.IsValid() && !reader.RemainingBytes().empty()) {
    auto entry = DecodeStruct<LogEntry>(reader.GetString());
    if (!entry) {
      return Fail(ResultCode::StorageCorrupt, "malformed log entry: " + entry.error().message);
    }
    BOOST_OUTCOME_TRY(AppendEntry(aState, std::move(entry.value())));
  }
  if (!reader.IsValid()) {
    return Fail(ResultCode::StorageCorrupt, "a log record has an invalid length");
  }
  return boost::outcome_v2::success();
}

} // namespace

MemberStorage::MemberStorage(FileSystem& aFiles, std::string aFolder)
  : files(aFiles)
  , folder(std::move(aFolder))
{
}

std::string MemberStorage::PathOf(std::string_view aName) const
{
  return this->folder + "/" + std::string(aName);
}

Result<std::unique_ptr<MemberStorage>> MemberStorage::Open(FileSystem& aFiles,
                                                           const std::string& aFolder)
{
  BOOST_OUTCOME_TRY(aFiles.CreateFolder(aFolder));
  BOOST_OUTCOME_TRY(aFiles.LockFolder(aFolder));
  std::unique_ptr<MemberStorage> storage(new MemberStorage(aFiles, aFolder));
  BOOST_OUTCOME_TRY(storage->Load());
  return storage;
}

/// A killed process may have left names and log records that are readable but not durable. Both are
/// synced before the state is used, because the caller confirms it to other members.
Result<void> MemberStorage::Load()
{
  BOOST_OUTCOME_TRY(this->files.SyncFolder(this->folder));
  BOOST_OUTCOME_TRY(identity, this->files.Read(this->PathOf(kIdentityFileName)));
  if (!identity) {
    BOOST_OUTCOME_TRY(this->CreateIdentity());
  } else {
    BOOST_OUTCOME_TRY(id, DecodeIdentityFile(*identity));
    this->memberId = id;
  }
  BOOST_OUTCOME_TRY(bytes, this->files.Read(this->PathOf(kLogFileName)));
  if (!bytes) {
    // Without its log, a member could vote twice in a term.
    return Fail(ResultCode::StorageCorrupt, this->folder + ": the log file is missing");
  }
  BOOST_OUTCOME_TRY(this->LoadSnapshot());
  return this->LoadLog(*bytes);
}

/// The log is created before the identity, so that an identity without a log always means damage.
Result<void> MemberStorage::CreateIdentity()
{
  BOOST_OUTCOME_TRY(log, this->files.Read(this->PathOf(kLogFileName)));
  BOOST_OUTCOME_TRY(snapshot, this->files.Read(this->PathOf(kSnapshotFileName)));
  if (snapshot || (log && *log != WriteAheadLog::kMagic)) {
    return Fail(ResultCode::StorageCorrupt, this->folder + ": the identity file is missing");
  }
  BOOST_OUTCOME_TRY(
    ReplaceFile(this->files, this->folder, std::string(kLogFileName), WriteAheadLog::Encode({})));
  this->memberId = NewMemberId();
  return ReplaceFile(
    this->files, this->folder, std::string(kIdentityFileName), EncodeIdentityFile(this->memberId));
}

Result<void> MemberStorage::LoadSnapshot()
{
  BOOST_OUTCOME_TRY(bytes, this->files.Read(this->PathOf(kSnapshotFileName)));
  if (bytes) {
    BOOST_OUTCOME_TRY(snapshot, DecodeSnapshotFile(*bytes));
    this->loaded.snapshot = std::move(snapshot);
  }
  return boost::outcome_v2::success();
}

Result<void> MemberStorage::LoadLog(const std::string& aBytes)
{
  BOOST_OUTCOME_TRY(content, WriteAheadLog::Scan(aBytes));
  for (const std::string& payload : content.payloads) {
    BOOST_OUTCOME_TRY(DecodePayload(payload, this->loaded));
  }
  BOOST_OUTCOME_TRY(file, this->files.Open(this->PathOf(kLogFileName)));
  if (content.hasTornTail) {
    WriteLog(LogEvent::TornRecordCut,
             "folder=" + this->folder + " bytes=" + std::to_string(content.validBytes) + ".." +
               std::to_string(aBytes.size()));
    BOOST_OUTCOME_TRY(file->Truncate(content.validBytes));
  }
  BOOST_OUTCOME_TRY(file->Sync());
  this->wal.emplace(std::move(file), content.payloads.size(), content.validBytes);
  return boost::outcome_v2::success();
}

Result<void> MemberStorage::Persist(std::span<const PersistBatch> aBatches)
{
  if (this->hasFailed) {
    return Fail(ResultCode::StorageWriteFailed, "an earlier write failed");
  }
  auto written = this->WriteBatches(aBatches);
  if (!written && written.error().code != ResultCode::StorageFull) {
    this->hasFailed = true;
    WriteLog(LogEvent::StorageFailed,
             "folder=" + this->folder + " reason=" + written.error().message);
  }
  return written;
}

/// A batch with a snapshot contains the whole log after it and replaces all earlier batches. These
/// are not written: if the disk refuses a later batch, the next attempt would otherwise append them
/// to the log that the snapshot batch has already replaced.
Result<void> MemberStorage::WriteBatches(std::span<const PersistBatch> aBatches)
{
  std::size_t start = aBatches.size();
  while (start > 0 && !aBatches[start - 1].snapshot) {
    --start;
  }
  if (start > 0) {
    BOOST_OUTCOME_TRY(this->StoreSnapshot(aBatches[start - 1]));
  }
  return this->AppendBatches(aBatches.subspan(start));
}

Result<void> MemberStorage::AppendBatches(std::span<const PersistBatch> aBatches)
{
  if (aBatches.empty()) {
    return boost::outcome_v2::success();
  }
  return this->wal->Append(EncodePayload(aBatches.back().hardState, aBatches));
}

Result<void> MemberStorage::StoreSnapshot(const PersistBatch& aBatch)
{
  BOOST_OUTCOME_TRY(ReplaceFile(this->files,
                                this->folder,
                                std::string(kSnapshotFileName),
                                EncodeSnapshotFile(*aBatch.snapshot)));
  const std::string payload = EncodePayload(aBatch.hardState, std::span(&aBatch, 1));
  const std::string content = WriteAheadLog::Encode({ payload });
  BOOST_OUTCOME_TRY(ReplaceFile(this->files, this->folder, std::string(kLogFileName), content));
  BOOST_OUTCOME_TRY(file, this->files.Open(this->PathOf(kLogFileName)));
  this->wal.emplace(std::move(file), 1, content.size());
  return boost::outcome_v2::success();
}

} // namespace oleanderledge
