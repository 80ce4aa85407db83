#include "oleanderledge/consensus/consensus.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

constexpr std::size_t kCommandBytes = 1000;

/// The entries 1 to 20, with commands of 1000 bytes.
class LogOfTwentyEntries
{
public:
  LogOfTwentyEntries()
  {
    for (std::uint64_t index = 1; index <= 20; ++index) {
      this->log.Append({ 1, index, std::string(kCommandBytes, '.'), LogEntryKind::Command });
    }
  }

  static RaftSnapshot SnapshotAt(std::uint64_t aIndex)
  {
    return { aIndex, 1, std::make_shared<const std::string>(EncodeSnapshotContent({}, "state")) };
  }

  RaftLog log{ PersistentState{} };
};

} // namespace

// Guards against a history that new members receive in place of the snapshot because its entries
// are few, though large.
TEST_CASE_METHOD(LogOfTwentyEntries, "LogOfTwentyEntries: retains entries up to a number of bytes")
{
  this->log.Compact(SnapshotAt(15), 1000, 3 * kCommandBytes);
  CHECK(this->log.BaseIndex() == 12);
  CHECK(this->log.LastIndex() == 20);
  CHECK(this->log.TermAt(12) == 1);
}

TEST_CASE_METHOD(LogOfTwentyEntries, "LogOfTwentyEntries: retains a number of entries")
{
  this->log.Compact(SnapshotAt(15), 5, SIZE_MAX);
  CHECK(this->log.BaseIndex() == 10);
}

TEST_CASE_METHOD(LogOfTwentyEntries, "LogOfTwentyEntries: the base index does not move back")
{
  this->log.Compact(SnapshotAt(15), 1000, 0);
  CHECK(this->log.BaseIndex() == 15);
  this->log.Compact(SnapshotAt(17), 1000, SIZE_MAX);
  CHECK(this->log.BaseIndex() == 15);
}
