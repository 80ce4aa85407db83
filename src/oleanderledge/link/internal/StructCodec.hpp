/// Definitions of EncodeStruct() and DecodeStruct(). Included only by sources that instantiate them
/// for their own structs, so that msgpack stays out of public headers.
#pragma once

#include "oleanderledge/link/Codec.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <span>
#include <type_traits>

namespace oleanderledge {

namespace codec {

using Packer = msgpack::packer<msgpack::sbuffer>;

/// Limits the nesting of decoded arrays, so that a malicious frame cannot exhaust the stack.
constexpr std::size_t kMaxNestingDepth = 16;

template<class T>
struct IsVector : std::false_type
{
};
template<class T>
struct IsVector<std::vector<T>> : std::true_type
{
};

template<class T>
void PackValue(Packer& aPacker, const T& aValue);

class PackVisitor
{
public:
  explicit PackVisitor(Packer& aTarget)
    : packer(aTarget)
  {
  }

  template<class... Fields>
  void operator()(const Fields&... aFields)
  {
    this->packer.pack_array(sizeof...(aFields));
    (PackValue(this->packer, aFields), ...);
  }

private:
  Packer& packer;
};

template<class T>
void PackValue(Packer& aPacker, const T& aValue)
{
  if constexpr (std::is_same_v<T, std::string>) {
    aPacker.pack_bin(static_cast<std::uint32_t>(aValue.size()));
    aPacker.pack_bin_body(aValue.data(), static_cast<std::uint32_t>(aValue.size()));
  } else if constexpr (std::is_enum_v<T>) {
    aPacker.pack(static_cast<std::uint64_t>(aValue));
  } else if constexpr (std::is_arithmetic_v<T>) {
    aPacker.pack(aValue);
  } else if constexpr (IsVector<T>::value) {
    aPacker.pack_array(static_cast<std::uint32_t>(aValue.size()));
    for (const auto& element : aValue) {
      PackValue(aPacker, element);
    }
  } else {
    PackVisitor visitor(aPacker);
    // Visit() is not const because decoding uses it too; PackVisitor only reads.
    const_cast<T&>(aValue).Visit(visitor);
  }
}

/// `aMemoryLeft` is the memory that the elements of decoded lists may still take; it is reduced by
/// what they take.
template<class T>
bool UnpackValue(const msgpack::object& aObject, T& aValue, std::size_t& aMemoryLeft);

class UnpackVisitor
{
public:
  UnpackVisitor(std::span<const msgpack::object> aSource, std::size_t& aMemoryLeft)
    : fields(aSource)
    , memoryLeft(aMemoryLeft)
  {
  }

  template<class... Fields>
  void operator()(Fields&... aTargets)
  {
    (this->UnpackNext(aTargets), ...);
  }

  bool IsValid() const { return this->valid; }

private:
  template<class T>
  void UnpackNext(T& aTarget)
  {
    if (!this->valid || this->next >= this->fields.size()) {
      return;
    }
    this->valid = UnpackValue(this->fields[this->next], aTarget, this->memoryLeft);
    ++this->next;
  }

  std::span<const msgpack::object> fields;
  std::size_t& memoryLeft;
  std::size_t next = 0;
  bool valid = true;
};

inline bool IsArray(const msgpack::object& aObject)
{
  return aObject.type == msgpack::type::ARRAY;
}

inline std::span<const msgpack::object> Elements(const msgpack::object& aObject)
{
  return { aObject.via.array.ptr, aObject.via.array.size };
}

inline bool UnpackString(const msgpack::object& aObject, std::string& aValue)
{
  if (aObject.type == msgpack::type::BIN) {
    aValue.assign(aObject.via.bin.ptr, aObject.via.bin.size);
    return true;
  }
  if (aObject.type == msgpack::type::STR) {
    aValue.assign(aObject.via.str.ptr, aObject.via.str.size);
    return true;
  }
  return false;
}

template<class T>
bool UnpackNumber(const msgpack::object& aObject, T& aValue)
{
  if constexpr (std::is_same_v<T, bool>) {
    if (aObject.type != msgpack::type::BOOLEAN) {
      return false;
    }
    aValue = aObject.via.boolean;
    return true;
  } else {
    if (aObject.type == msgpack::type::POSITIVE_INTEGER) {
      if (!std::in_range<T>(aObject.via.u64)) {
        return false;
      }
      aValue = static_cast<T>(aObject.via.u64);
      return true;
    }
    if (aObject.type == msgpack::type::NEGATIVE_INTEGER) {
      if (!std::in_range<T>(aObject.via.i64)) {
        return false;
      }
      aValue = static_cast<T>(aObject.via.i64);
      return true;
    }
    return false;
  }
}

template<class T>
bool UnpackValue(const msgpack::object& aObject, T& aValue, std::size_t& aMemoryLeft)
{
  if constexpr (std::is_same_v<T, std::string>) {
    return UnpackString(aObject, aValue);
  } else if constexpr (std::is_enum_v<T>) {
    std::underlying_type_t<T> number{};
    if (!UnpackNumber(aObject, number)) {
      return false;
    }
    aValue = static_cast<T>(number);
    return true;
  } else if constexpr (std::is_same_v<T, char>) {
    signed char number = 0;
    if (!UnpackNumber(aObject, number)) {
      return false;
    }
    aValue = static_cast<char>(number);
    return true;
  } else if constexpr (std::is_arithmetic_v<T>) {
    return UnpackNumber(aObject, aValue);
  } else if constexpr (IsVector<T>::value) {
    if (!IsArray(aObject)) {
      return false;
    }
    // An element may take one byte of the message and a hundred bytes of memory.
    const std::size_t memory = aObject.via.array.size * sizeof(typename T::value_type);
    if (memory > aMemoryLeft) {
      return false;
    }
    aMemoryLeft -= memory;
    aValue.clear();
    aValue.reserve(aObject.via.array.size);
    for (const auto& element : Elements(aObject)) {
      if (!UnpackValue(element, aValue.emplace_back(), aMemoryLeft)) {
        return false;
      }
    }
    return true;
  } else {
    if (!IsArray(aObject)) {
      return false;
    }
    UnpackVisitor visitor(Elements(aObject), aMemoryLeft);
    aValue.Visit(visitor);
    return visitor.IsValid();
  }
}

/// Counts the elements of all arrays of a message without allocating them.
class ElementCounter : public msgpack::null_visitor
{
public:
  explicit ElementCounter(std::size_t aMaximum)
    : maximum(aMaximum)
  {
  }

  // Names of msgpack.
  bool start_array(std::uint32_t aCount) // NOLINT(readability-identifier-naming)
  {
    this->count += aCount;
    ++this->depth;
    return this->count <= this->maximum && this->depth <= kMaxNestingDepth;
  }
  bool end_array() // NOLINT(readability-identifier-naming)
  {
    --this->depth;
    return true;
  }
  static bool start_map(std::uint32_t /*aCount*/) // NOLINT(readability-identifier-naming)
  {
    return false;
  }

private:
  std::size_t maximum;
  std::size_t count = 0;
  std::size_t depth = 0;
};

/// Parses msgpack bytes within limits. The handle owns the decoded objects.
inline Result<msgpack::object_handle> Parse(std::string_view aBytes, std::size_t aMaxElements)
{
  // msgpack allocates an array as soon as it has read its length, so nested arrays of great length
  // would take gigabytes although their elements never follow.
  ElementCounter counter(std::min(aMaxElements, aBytes.size()));
  if (!msgpack::parse(aBytes.data(), aBytes.size(), counter)) {
    return Fail(ResultCode::MalformedFrame, "not msgpack, or too many elements");
  }
  // Every element takes at least one byte, so no count can exceed the length. Without this limit a
  // short frame with a huge array length would make msgpack allocate gigabytes.
  const std::size_t length = aBytes.size();
  const msgpack::unpack_limit limit(length, 0, length, length, 0, kMaxNestingDepth);
  // msgpack reports malformed input by exceptions; they are converted to a Result here.
  try {
    return msgpack::unpack(
      aBytes.data(),
      aBytes.size(),
      [](msgpack::type::object_type, std::size_t, void*) { return true; },
      nullptr,
      limit);
  } catch (const std::exception& failure) {
    return Fail(ResultCode::MalformedFrame, failure.what());
  }
}

} // namespace codec

template<class T>
std::string EncodeStruct(const T& aValue)
{
  msgpack::sbuffer buffer;
  codec::Packer packer(buffer);
  codec::PackValue(packer, aValue);
  return { buffer.data(), buffer.size() };
}

template<class T>
Result<T> DecodeStruct(std::string_view aBytes)
{
  // Records are written by this program, so only their own length limits them.
  auto handle = codec::Parse(aBytes, aBytes.size());
  if (!handle) {
    return Fail(handle.error().code, handle.error().message);
  }
  T value;
  std::size_t memoryLeft = std::numeric_limits<std::size_t>::max();
  if (!codec::UnpackValue(handle.value().get(), value, memoryLeft)) {
    return Fail(ResultCode::MalformedFrame, "a field has the wrong type");
  }
  return value;
}

} // namespace oleanderledge
