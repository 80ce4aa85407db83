#include "oleanderledge/storage/WriteAheadLog.hpp"

#include "oleanderledge/consensus/ByteCodec.hpp"

#include <boost/crc.hpp>

#include <array>
#include <optional>

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

/// A record whose checksum has not been compared.
struct RecordFrame
{
  std::uint32_t crc;
  std::string_view payload; ///< Including the record number.
};

/// Returns the record at the start of `aBytes`, or nothing if it does not fit there or has a number
/// below `aMinNumber`.
std::optional<RecordFrame> DecodeFrame(std::string_view aBytes, std::uint64_t aMinNumber)
{
  ByteReader reader(aBytes);
  const std::uint32_t length = reader.GetU32();
  const std::uint32_t crc = reader.GetU32();
  if (!reader.IsValid() || length < kRecordNumberBytes || length > reader.RemainingBytes().size()) {
    return std::nullopt;
  }
  const std::string_view payload = reader.RemainingBytes().substr(0, length);
  if (ByteReader(payload).GetU64() < aMinNumber) {
    return std::nullopt;
  }
  return RecordFrame{ crc, payload };
}

/// Computes the CRC-32 checksums of parts of some bytes in logarithmic time each.
class PartChecksums
{
public:
  explicit PartChecksums(std::string_view aBytes)
  {
    this->prefixes.reserve(aBytes.size() + 1);
    boost::crc_32_type crc;
    this->prefixes.push_back(crc.checksum());
    for (const char byte : aBytes) {
      crc.process_byte(static_cast<unsigned char>(byte));
      this->prefixes.push_back(crc.checksum());
    }
    std::uint32_t power = kOne >> 8U;
    for (std::uint32_t& each : this->powers) {
      each = power;
      power = Multiply(power, power);
    }
  }

  /// Checksum of `aCount` bytes from the offset `aFirst` on.
  std::uint32_t Of(std::size_t aFirst, std::size_t aCount) const
  {
    // The checksum of two parts is the sum of that of the second one and that of the first one
    // times x^8 for each byte of the second one.
    std::uint32_t shifted = this->prefixes[aFirst];
    for (std::size_t at = 0; (aCount >> at) != 0; ++at) {
      shifted = ((aCount >> at) & 1U) != 0 ? Multiply(shifted, this->powers.at(at)) : shifted;
    }
    return this->prefixes[aFirst + aCount] ^ shifted;
  }

private:
  // Polynomials over GF(2) modulo that of the checksum, with the coefficient of x^0 in the highest
  // bit.
  static constexpr std::uint32_t kOne = 0x80000000U;
  static constexpr std::uint32_t kPolynomial = 0xEDB88320U;

  static std::uint32_t Multiply(std::uint32_t aLeft, std::uint32_t aRight)
  {
    std::uint32_t product = 0;
    for (; aLeft != 0; aLeft <<= 1U) {
      product ^= (aLeft & kOne) != 0 ? aRight : 0;
      aRight = (aRight >> 1U) ^ ((aRight & 1U) != 0 ? kPolynomial : 0);
    }
    return product;
  }

  std::vector<std::uint32_t> prefixes;    ///< Checksums of the first n bytes.
  std::array<std::uint32_t, 32> powers{}; ///< x^(8 * 2^n); a record has less than 2^32 bytes.
};

/// True if `aBytes` contains, after its start, a valid record with a number of at least `aNumber`.
/// The bytes before it must then have been complete once, so they are damaged and not the result of
/// an interrupted write.
bool HasLaterRecord(std::string_view aBytes, std::uint64_t aNumber)
{
  // Every offset is tried, and many look like the start of a long record. Computing each checksum
  // from the bytes took 25 s for an incomplete record of 1 MB.
  const PartChecksums checksums(aBytes);
  for (std::size_t offset = 1; offset + kRecordHeaderBytes < aBytes.size(); ++offset) {
    const auto frame = DecodeFrame(aBytes.substr(offset), aNumber);
    if (frame && checksums.Of(offset + kRecordHeaderBytes, frame->payload.size()) == frame->crc) {
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
    const auto frame = DecodeFrame(rest, number);
    if (!frame || Crc32(frame->payload) != frame->crc) {
      break;
    }
    const std::string_view payload = frame->payload;
    if (ByteReader(payload).GetU64() != number) {
      return Fail(ResultCode::StorageCorrupt, "record " + std::to_string(number) + " is missing");
    }
    content.payloads.emplace_back(payload.substr(kRecordNumberBytes));
    rest.remove_prefix(kRecordHeaderBytes + payload.size());
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
