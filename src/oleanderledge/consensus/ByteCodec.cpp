#include "oleanderledge/consensus/ByteCodec.hpp"

namespace oleanderledge {

namespace {

void PutNumber(std::string& aBytes, std::uint64_t aValue, unsigned aCount)
{
  for (unsigned at = 0; at < aCount; ++at) {
    aBytes.push_back(static_cast<char>((aValue >> (8U * at)) & 0xFFU));
  }
}

} // namespace

void ByteWriter::PutU8(std::uint8_t aValue)
{
  PutNumber(this->bytes, aValue, 1);
}

void ByteWriter::PutU32(std::uint32_t aValue)
{
  PutNumber(this->bytes, aValue, 4);
}

void ByteWriter::PutU64(std::uint64_t aValue)
{
  PutNumber(this->bytes, aValue, 8);
}

void ByteWriter::PutString(std::string_view aValue)
{
  this->PutU32(static_cast<std::uint32_t>(aValue.size()));
  this->bytes.append(aValue);
}

std::string_view ByteReader::Take(std::size_t aCount)
{
  if (aCount > this->rest.size()) {
    this->valid = false;
    this->rest = {};
    return {};
  }
  const std::string_view taken = this->rest.substr(0, aCount);
  this->rest.remove_prefix(aCount);
  return taken;
}

std::uint64_t ByteReader::GetNumber(std::size_t aCount)
{
  std::uint64_t value = 0;
  unsigned shift = 0;
  for (const char byte : this->Take(aCount)) {
    value |= std::uint64_t{ static_cast<unsigned char>(byte) } << shift;
    shift += 8;
  }
  return value;
}

std::uint8_t ByteReader::GetU8()
{
  return static_cast<std::uint8_t>(this->GetNumber(1));
}

std::uint32_t ByteReader::GetU32()
{
  return static_cast<std::uint32_t>(this->GetNumber(4));
}

std::uint64_t ByteReader::GetU64()
{
  return this->GetNumber(8);
}

std::string_view ByteReader::GetString()
{
  return this->Take(this->GetU32());
}

} // namespace oleanderledge
