#include "oleanderledge/storage/WriteAheadLog.hpp"

#include "oleanderledge/consensus/ByteCodec.hpp"

namespace oleanderledge {

namespace {

constexpr std::size_t kRecordHeaderBytes = 8; ///< Length and CRC-32.
constexpr std::size_t kRecordNumberBytes = 8; ///< Record number at the start of the payload.

std::string EncodeRecord(std::uint64_t aNumber, std::string_view aPayload)
{
  ByteWriter payload;
  payload.PutU64(aNumber);
  std::string numbered = payload.TakeBytes();
  numbered.append(aPayload);
  ByteWriter header;
  header.PutU32(static_cast<std::uint32_t>(numbered.size()));
  header.PutU32(Crc32(numbered));
  return header.TakeBytes() + numbered;
}

/// Returns the payload, including the record number, of the record at the start of `aBytes`, or
/// nothing if there is no valid record with a number of at least `aMinNumber`.
std::optional<std::string_view> DecodeRecord(std::string_view aBytes, std::uint64_t aMinNumber)
{
  ByteReader reader(aBytes);
  const std::uint32_t length = reader.GetU32();
  const std::uint32_t crc = reader.GetU32();
  if (!reader.IsValid() || length < kRecordNumberBytes || length > reader.RemainingBytes().size()) {
    return std::nullopt;
  }
  const std::string_view payload = reader.RemainingBytes().substr(0, length);
  // The number is compared before the checksum is computed, because HasLaterRecord() tries every
  // offset.
  if (ByteReader(payload).GetU64() < aMinNumber || Crc32(payload) != crc) {
    return std::nullopt;
  }
  return payload;
}

/// True if `aBytes` contains, after its start, a valid record with a number of at least `aNumber`.
/// The bytes before it must then have been complete once, so they are damaged and not the result of
/// an interrupted write.
bool HasLaterRecord(std::string_view aBytes, std::uint64_t aNumber)
{
  for (std::size_t offset = 1; offset + kRecordHeaderBytes < aBytes.size(); ++offset) {
    if (DecodeRecord(aBytes.substr(offset), aNumber)) {
      return true;
    }
  }
  return false;
}

} // namespace

Result<WriteAheadLog::Content> WriteAheadLog::Scan(std::string_view aBytes)
{
  if (!aBytes.starts_with(kMagic)) {
    return Fail(ResultCode::StorageCorrupt, "the log file does not start with its magic number");
  }
  Content content;
  std::string_view rest = aBytes.substr(kMagic.size());
  std::uint64_t number = 1;
  while (!rest.empty()) {
    const auto payload = DecodeRecord(rest, number);
    if (!payload) {
      break;
    }
    if (ByteReader(*payload).GetU64() != number) {
      return Fail(ResultCode::StorageCorrupt, "record " + std::to_string(number) + " is missing");
    }
    content.payloads.emplace_back(payload->substr(kRecordNumberBytes));
    rest.remove_prefix(kRecordHeaderBytes + payload->size());
    ++number;
  }
  content.validBytes = aBytes.size() - rest.size();
  content.hasTornTail = !rest.empty();
  if (content.hasTornTail && HasLaterRecord(rest, number)) {
    return Fail(ResultCode::StorageCorrupt,
                "record " + std::to_string(number) + " at byte " +
                  std::to_string(content.validBytes) + " is damaged and later records exist");
  }
  return content;
}

std::string WriteAheadLog::Encode(const std::vector<std::string>& aPayloads)
{
  std::string bytes(kMagic);
  std::uint64_t number = 1;
  for (const std::string& payload : aPayloads) {
    bytes += EncodeRecord(number, payload);
    ++number;
  }
  return bytes;
}

Result<void> WriteAheadLog::Append(std::string_view aPayload)
{
  if (this->hasFailed) {
    return Fail(ResultCode::StorageWriteFailed, "an earlier write failed");
  }
  // Cleared on success, and if a part of the record could be cut off: after a failed sync, the end
  // of the file is unknown.
  this->hasFailed = true;
  const std::string record = EncodeRecord(this->recordCount + 1, aPayload);
  if (const auto written = AppendAll(*this->file, record); !written) {
    BOOST_OUTCOME_TRY(this->file->Truncate(this->size));
    this->hasFailed = false;
    return Fail(ResultCode::StorageFull, written.error().message);
  }
  BOOST_OUTCOME_TRY(this->file->Sync());
  ++this->recordCount;
  this->size += record.size();
  this->hasFailed = false;
  return boost::outcome_v2::success();
}

} // namespace oleanderledge
