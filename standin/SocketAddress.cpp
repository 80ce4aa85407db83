#include "SocketAddress.hpp"

#include <QString>

#include <charconv>

namespace oleanderledge::stand_in {

SocketAddress ParseAddress(std::string_view aText)
{
  SocketAddress address;
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return address;
  }
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, address.port);
  if (parsed.ec == std::errc{} && parsed.ptr == end) {
    address.host = QHostAddress(QString::fromUtf8(aText.data(), static_cast<qsizetype>(colon)));
  }
  return address;
}

std::string ToString(const SocketAddress& aAddress)
{
  return aAddress.host.toString().toStdString() + ":" + std::to_string(aAddress.port);
}

} // namespace oleanderledge::stand_in
