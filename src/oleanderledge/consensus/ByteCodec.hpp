#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Appends integers (little-endian) and length-prefixed strings to a byte string, for records on
/// disk and snapshot contents.
class ByteWriter
{
public:
  void PutU8(std::uint8_t aValue);
  void PutU32(std::uint32_t aValue);
  void PutU64(std::uint64_t aValue);
  /// Appends a length of four bytes, then the bytes.
  void PutString(std::string_view aValue);

  /// Moves the encoded bytes out of the writer.
  std::string TakeBytes() { return std::move(this->bytes); }

private:
  std::string bytes;
};

/// Decodes what ByteWriter encoded. After a read past the end, IsValid() is false and all reads
/// return zero or an empty string.
class ByteReader
{
public:
  explicit ByteReader(std::string_view aBytes)
    : remaining(aBytes)
  {
  }

  std::uint8_t GetU8();
  std::uint32_t GetU32();
  std::uint64_t GetU64();
  /// Returns a view into the decoded bytes.
  std::string_view GetString();

  bool IsValid() const { return this->valid; }
  /// The bytes not yet read.
  std::string_view RemainingBytes() const { return this->remaining; }

private:
  std::string_view ReadBytes(std::size_t aCount);
  std::uint64_t ReadLittleEndian(std::size_t aCount);

  std::string_view remaining;
  bool valid = true;
};

} // namespace oleanderledge
