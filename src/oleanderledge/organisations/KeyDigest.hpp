#pragma once

#include <string>
#include <string_view>

namespace oleanderledge {

/// Length of the digest of a key in bytes.
constexpr std::size_t kKeyDigestBytes = 16;

/// Digest by which a key is stored and compared: the first kKeyDigestBytes of its SHA-256. Keys are
/// long and random, so a slow hash with a salt would not make them harder to guess. As digests are
/// compared, and not keys, the time of a comparison tells nothing about a key.
std::string DigestOfKey(std::string_view aKey);

} // namespace oleanderledge
