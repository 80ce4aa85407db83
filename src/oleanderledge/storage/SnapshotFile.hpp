#pragma once

#include "oleanderledge/consensus/PersistentState.hpp"
#include "oleanderledge/storage/FileSystem.hpp"

#include <optional>
#include <string>

namespace oleanderledge {

/// Encodes a snapshot file: the magic number "OLSNP001", the CRC-32 of the rest, the last index,
/// the last term and the content.
std::string EncodeSnapshotFile(const RaftSnapshot& aSnapshot);

/// Inverse of EncodeSnapshotFile(). Fails with StorageCorrupt. Snapshot files get their name only
/// once they are complete, so damage is never the result of an interrupted write.
Result<RaftSnapshot> DecodeSnapshotFile(std::string_view aBytes);

} // namespace oleanderledge
