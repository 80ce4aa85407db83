#pragma once

#include "oleanderledge/storage/FileSystem.hpp"

#include <string>

namespace oleanderledge {

/// Encodes an identity file: "OLID0001", the CRC-32 of the id, the id.
std::string EncodeIdentityFile(std::string_view aId);

/// Inverse of EncodeIdentityFile(). Fails with StorageCorrupt.
Result<std::string> DecodeIdentityFile(std::string_view aBytes);

/// A new id that no earlier data folder has: 128 random bits from the operating system, in hex.
std::string NewMemberId();

} // namespace oleanderledge
