#include "oleanderledge/storage/MemberIdentity.hpp"

#include "oleanderledge/consensus/ByteCodec.hpp"

#include <random>

namespace oleanderledge {

namespace {

constexpr std::string_view kIdentityMagic = "OLID0001";
constexpr int kMemberIdWords = 4; ///< Words of 32 bits.

} // namespace

std::string EncodeIdentityFile(std::string_view aId)
{
  ByteWriter body;
  body.PutU32(Crc32(aId));
  body.PutString(aId);
  return std::string(kIdentityMagic) + body.TakeBytes();
}

Result<std::string> DecodeIdentityFile(std::string_view aBytes)
{
  if (!aBytes.starts_with(kIdentityMagic)) {
    return Fail(ResultCode::StorageCorrupt,
                "the identity file does not start with its magic number");
  }
  ByteReader reader(aBytes.substr(kIdentityMagic.size()));
  const std::uint32_t crc = reader.GetU32();
  const std::string_view id = reader.GetString();
  if (!reader.IsValid() || !reader.RemainingBytes().empty() || id.empty() || Crc32(id) != crc) {
    return Fail(ResultCode::StorageCorrupt, "the identity file has an invalid checksum or length");
  }
  return std::string(id);
}

std::string NewMemberId()
{
  static constexpr std::string_view kHexDigits = "0123456789abcdef";
  std::random_device device;
  std::string id;
  for (int word = 0; word < kMemberIdWords; ++word) {
    std::uint32_t bits = device();
    for (int digit = 0; digit < 8; ++digit) {
      id.push_back(kHexDigits[bits & 0xFU]);
      bits >>= 4U;
    }
  }
  return id;
}

} // namespace oleanderledge
