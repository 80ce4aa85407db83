#pragma once

#include "oleanderledge/storage/FileSystem.hpp"

#include <string>

namespace oleanderledge {

/// Encodes an identity file: the magic number "OLID0001", the CRC-32 of the id, and the id.
std::string EncodeIdentityFile(std::string_view aId);

/// Returns the member id from an identity file. Fails with StorageCorrupt.
Result<std::string> DecodeIdentityFile(std::string_view aBytes);

/// Creates a unique member id: 128 random bits from the operating system, in hexadecimal.
std::string NewMemberId();

} // namespace oleanderledge
