#pragma once

#include "oleanderledge/storage/FileSystem.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oleanderledge {

/// An append-only file of records.
///
/// The file starts with the eight bytes "OLWAL001". A record consists of the length of its payload
/// (four bytes), the CRC-32 of the payload (four bytes) and the payload, which starts with the
/// number of the record (eight bytes, counted from 1). All integers are little-endian. Each record
/// is synced before the next one is written, so a crash can damage only the last one.
class WriteAheadLog
{
public:
  static constexpr std::string_view kMagic = "OLWAL001";

  /// The records of a file.
  struct Content
  {
    std::vector<std::string> payloads; ///< Without the record numbers.
    std::uint64_t validBytes = 0;      ///< Size of the magic number and all valid records.
    bool hasTornTail = false; ///< The file continues after `validBytes` with an incomplete record.
  };

  /// Decodes all records. Fails with StorageCorrupt if the magic number is missing, or if a record
  /// before the last one is damaged or missing.
  static Result<Content> Scan(std::string_view aBytes);

  /// Encodes a new file with one record per payload.
  static std::string Encode(const std::vector<std::string>& aPayloads);

  /// Appends to a file of `aSize` bytes that contains `aRecordCount` records.
  WriteAheadLog(std::unique_ptr<File> aFile, std::uint64_t aRecordCount, std::uint64_t aSize)
    : file(std::move(aFile))
    , recordCount(aRecordCount)
    , size(aSize)
  {
  }

  /// Writes one record durably. Fails with StorageFull if the disk refused the record; the file is
  /// then as before, and the call may be repeated. Fails with StorageWriteFailed after other
  /// errors, and from then on.
  Result<void> Append(std::string_view aPayload);

private:
  std::unique_ptr<File> file;
  std::uint64_t recordCount;
  std::uint64_t size; ///< Of the magic number and all records.
  bool hasFailed = false;
};

} // namespace oleanderledge
