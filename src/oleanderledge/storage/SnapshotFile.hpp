#pragma once

#include "oleanderledge/consensus/PersistentState.hpp"
#include "oleanderledge/storage/FileSystem.hpp"

#include <optional>
#include <string>

namespace oleanderledge {

/// Encodes a snapshot file: "OLSNP001", the CRC-32 of the rest, last index, last term, content.
std::string EncodeSnapshotFile(const RaftSnapshot& aSnapshot);

/// Inverse of EncodeSnapshotFile(). Fails with StorageCorrupt. Snapshot files are renamed only when
/// complete, so damage is never the trace of a crash.
Result<RaftSnapshot> DecodeSnapshotFile(std::string_view aBytes);

} // namespace oleanderledge
