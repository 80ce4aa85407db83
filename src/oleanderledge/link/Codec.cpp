#include "oleanderledge/link/Codec.hpp"

#include "oleanderledge/link/internal/StructCodec.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

using codec::Elements;
using codec::IsArray;
using codec::Packer;
using codec::PackValue;
using codec::Parse;
using codec::UnpackNumber;
using codec::UnpackValue;

/// The fields of the largest messages, such as directories of thousands of rows, have fewer.
constexpr std::size_t kMaxElements = std::size_t{ 1024 } * 1024;
/// Memory of the elements of all lists of a message: strings and rows of our own messages take up
/// to eight times their encoded size.
constexpr std::size_t kMemoryPerByte = 16;
constexpr std::size_t kMinMemory = std::size_t{ 64 } * 1024;
constexpr std::size_t kMaxMemory = std::size_t{ 48 } * 1024 * 1024;

template<std::size_t kIndex = 0>
Result<Message> DecodeAlternative(std::size_t aType,
                                  const msgpack::object& aObject,
                                  std::size_t& aMemoryLeft)
{
  if constexpr (kIndex < std::variant_size_v<Message>) {
    if (aType != kIndex) {
      return DecodeAlternative<kIndex + 1>(aType, aObject, aMemoryLeft);
    }
    std::variant_alternative_t<kIndex, Message> value;
    if (!UnpackValue(aObject, value, aMemoryLeft)) {
      return Fail(ResultCode::MalformedFrame,
                  "invalid field in message type " + std::to_string(aType));
    }
    return Message(std::move(value));
  } else {
    return Fail(ResultCode::MalformedFrame, "unknown message type " + std::to_string(aType));
  }
}

std::string LengthPrefix(std::size_t aLength)
{
  std::string prefix;
  for (const unsigned shift : { 24U, 16U, 8U, 0U }) {
    prefix.push_back(static_cast<char>((aLength >> shift) & 0xFFU));
  }
  return prefix;
}

} // namespace

std::string EncodeFrame(const Message& aMessage)
{
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(2);
  packer.pack(static_cast<std::uint64_t>(aMessage.index()));
  std::visit([&packer](const auto& aValue) { PackValue(packer, aValue); }, aMessage);
  std::string frame = LengthPrefix(buffer.size());
  frame.append(buffer.data(), buffer.size());
  return frame;
}

Result<Message> DecodeFrameBody(std::string_view aBody)
{
  auto handle = Parse(aBody, kMaxElements);
  if (!handle) {
    return Fail(handle.error().code, handle.error().message);
  }
  const msgpack::object& object = handle.value().get();
  if (!IsArray(object) || object.via.array.size != 2) {
    return Fail(ResultCode::MalformedFrame, "the frame is not an array of type and fields");
  }
  std::uint64_t type = 0;
  if (!UnpackNumber(Elements(object)[0], type)) {
    return Fail(ResultCode::MalformedFrame, "the message type is not a number");
  }
  std::size_t memoryLeft = std::min(kMinMemory + aBody.size() * kMemoryPerByte, kMaxMemory);
  return DecodeAlternative(type, Elements(object)[1], memoryLeft);
}

// Instantiations for structs that are also encoded without a frame.
template std::string EncodeStruct(const LogEntry&);
template Result<LogEntry> DecodeStruct(std::string_view);

} // namespace oleanderledge
