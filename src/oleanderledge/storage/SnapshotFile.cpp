#include "oleanderledge/storage/SnapshotFile.hpp"

#include "oleanderledge/consensus/ByteCodec.hpp"

namespace oleanderledge {

namespace {

constexpr std::string_view kSnapshotMagic = "OLSNP001";

} // namespace

std::string EncodeSnapshotFile(const RaftSnapshot& aSnapshot)
{
  ByteWriter body;
  body.PutU64(aSnapshot.lastIndex);
  body.PutU64(aSnapshot.lastTerm);
  body.PutString(*aSnapshot.content);
  const std::string bytes = body.TakeBytes();
  ByteWriter crc;
  crc.PutU32(Crc32(bytes));
  return std::string(kSnapshotMagic) + crc.TakeBytes() + bytes;
}

Result<RaftSnapshot> DecodeSnapshotFile(std::string_view aBytes)
{
  if (!aBytes.starts_with(kSnapshotMagic)) {
    return Fail(ResultCode::StorageCorrupt,
                "the snapshot file does not start with its magic number");
  }
  ByteReader reader(aBytes.substr(kSnapshotMagic.size()));
  const std::uint32_t crc = reader.GetU32();
  if (!reader.IsValid() || Crc32(reader.RemainingBytes()) != crc) {
    return Fail(ResultCode::StorageCorrupt, "the snapshot file has an invalid checksum");
  }
  RaftSnapshot snapshot;
  snapshot.lastIndex = reader.GetU64();
  snapshot.lastTerm = reader.GetU64();
  snapshot.content = std::make_shared<const std::string>(reader.GetString());
  if (!reader.IsValid() || !reader.RemainingBytes().empty()) {
    return Fail(ResultCode::StorageCorrupt, "the snapshot file has an invalid length");
  }
  return snapshot;
}

} // namespace oleanderledge
