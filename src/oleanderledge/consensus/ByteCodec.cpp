#include "oleanderledge/consensus/ByteCodec.hpp"

namespace oleanderledge {

namespace {

void AppendLittleEndian(std::string& aBytes, std::uint64_t aValue, unsigned aCount)
{
  for (unsigned at = 0; at < aCount; ++at) {
    aBytes.push_back(static_cast<char>((aValue >> (8U * at)) & 0xFFU));
  }
}

} // namespace

void ByteWriter::PutU8(std::uint8_t aValue)
{
  AppendLittleEndian(this->bytes, aValue, 1);
}

void ByteWriter::PutU32(std::uint32_t aValue)
{
  AppendLittleEndian(this->bytes, aValue, 4);
}

void ByteWriter::PutU64(std::uint64_t aValue)
{
  AppendLittleEndian(this->bytes, aValue, 8);
}

void ByteWriter::PutString(std::string_view aValue)
{
  this->PutU32(static_cast<std::uint32_t>(aValue.size()));
  this->bytes.append(aValue);
}

std::string_view ByteReader::ReadBytes(std::size_t aCount)
{
  if (aCount > this->remaining.size()) {
    this->valid = false;
    this->remaining = {};
    return {};
  }
  const std::string_view taken = this->remaining.substr(0, aCount);
  this->remaining.remove_prefix(aCount);
  return taken;
}

std::uint64_t ByteReader::ReadLittleEndian(std::size_t aCount)
{
  std::uint64_t value = 0;
  unsigned shift = 0;
  for (const char byte : this->ReadBytes(aCount)) {
    value |= std::uint64_t{ static_cast<unsigned char>(byte) } << shift;
    shift += 8;
  }
  return value;
}

std::uint8_t ByteReader::GetU8()
{
  return static_cast<std::uint8_t>(this->ReadLittleEndian(1));
}

std::uint32_t ByteReader::GetU32()
{
  return static_cast<std::uint32_t>(this->ReadLittleEndian(4));
}

std::uint64_t ByteReader::GetU64()
{
  return this->ReadLittleEndian(8);
}

std::string_view ByteReader::GetString()
{
  return this->ReadBytes(this->GetU32());
}

} // namespace oleanderledge
