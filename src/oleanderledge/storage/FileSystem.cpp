#include "oleanderledge/storage/FileSystem.hpp"

#include <boost/crc.hpp>

namespace oleanderledge {

Result<void> AppendAll(File& aFile, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    auto written = aFile.Append(aBytes);
    if (!written) {
      return Fail(written.error().code, written.error().message);
    }
    if (written.value() == 0) {
      return Fail(ResultCode::StorageWriteFailed, "the write stored no bytes");
    }
    aBytes.remove_prefix(written.value());
  }
  return boost::outcome_v2::success();
}

Result<void> ReplaceFile(FileSystem& aFiles,
                         const std::string& aFolder,
                         const std::string& aName,
                         std::string_view aContent)
{
  const std::string path = aFolder + "/" + aName;
  const std::string temporary = path + ".tmp";
  BOOST_OUTCOME_TRY(file, aFiles.Open(temporary));
  // A crash may have left a temporary file behind.
  BOOST_OUTCOME_TRY(file->Truncate(0));
  if (const auto written = AppendAll(*file, aContent); !written) {
    BOOST_OUTCOME_TRY(file->Truncate(0));
    return Fail(ResultCode::StorageFull, written.error().message);
  }
  BOOST_OUTCOME_TRY(file->Sync());
  BOOST_OUTCOME_TRY(aFiles.Rename(temporary, path));
  return aFiles.SyncFolder(aFolder);
}

std::uint32_t Crc32(std::string_view aBytes)
{
  boost::crc_32_type crc;
  crc.process_bytes(aBytes.data(), aBytes.size());
  return crc.checksum();
}

} // namespace oleanderledge
