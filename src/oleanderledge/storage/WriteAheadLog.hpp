#pragma once

#include "oleanderledge/storage/FileSystem.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oleanderledge {

/// A file of records in the order of writing.
///
/// The file starts with eight bytes "OLWAL001". Each record has a four-byte length, the four-byte
/// CRC-32 of its payload (both little-endian) and the payload; the payload starts with the record's
/// eight-byte number, counted from 1. Every record is synced before the next one is written, so a
/// crash can damage only the last one.
class WriteAheadLog
{
public:
  static constexpr std::string_view kMagic = "OLWAL001";

  /// What a scan of a file finds.
  struct Content
  {
    std::vector<std::string> payloads; ///< Without the record numbers.
    std::uint64_t validBytes = 0;
    bool hasTornTail = false; ///< Bytes after `validBytes` are an incomplete last record.
  };

  /// Reads all records. Fails with StorageCorrupt if a record before the last one is damaged.
  static Result<Content> Scan(std::string_view aBytes);

  /// The bytes of a new file that holds some payloads.
  static std::string Encode(const std::vector<std::string>& aPayloads);

  /// Continues a file after `aRecordCount` records.
  WriteAheadLog(std::unique_ptr<File> aFile, std::uint64_t aRecordCount)
    : file(std::move(aFile))
    , recordCount(aRecordCount)
  {
  }

  /// Writes one record durably. Fails with StorageWriteFailed, and from then on always.
  Result<void> Append(std::string_view aPayload);

private:
  std::unique_ptr<File> file;
  std::uint64_t recordCount;
  bool hasFailed = false;
};

} // namespace oleanderledge
