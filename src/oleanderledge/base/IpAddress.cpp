#include "oleanderledge/base/IpAddress.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace oleanderledge {

namespace {

bool IsIpAddress(const std::string& aText)
{
  in6_addr binary{};
  return inet_pton(AF_INET, aText.c_str(), &binary) == 1 ||
         inet_pton(AF_INET6, aText.c_str(), &binary) == 1;
}

} // namespace

bool IsIpAndPort(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || !IsIpAddress(std::string(aText.substr(0, colon)))) {
    return false;
  }
  const std::string_view digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  return parsed.ec == std::errc{} && parsed.ptr == digits.data() + digits.size() && port > 0;
}

} // namespace oleanderledge
