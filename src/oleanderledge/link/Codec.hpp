#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/Messages.hpp"

#include <span>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Largest frame body in bytes. A link that receives a larger frame is closed.
constexpr std::size_t kMaxFrameBytes = std::size_t{ 16 } * 1024 * 1024;

/// Encodes a message as a frame: a four-byte big-endian length, then a msgpack array of the type
/// number and the fields.
std::string EncodeFrame(const Message& aMessage);

/// Decodes the body of a frame, without its length. Fails with MalformedFrame.
Result<Message> DecodeFrameBody(std::string_view aBody);

/// Encodes one struct that has Visit() without a frame, for records on disk.
template<class T>
std::string EncodeStruct(const T& aValue);

/// Decodes a struct written by EncodeStruct(). Fails with MalformedFrame.
template<class T>
Result<T> DecodeStruct(std::string_view aBytes);

} // namespace oleanderledge
