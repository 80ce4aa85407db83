#pragma once

#include <QHostAddress>

#include <cstdint>
#include <string>
#include <string_view>

namespace oleanderledge::stand_in {

/// An IP address and a port.
struct SocketAddress
{
  QHostAddress host;
  std::uint16_t port = 0;
};

/// Parses "ip:port"; the host is null if the text is not valid.
SocketAddress ParseAddress(std::string_view aText);

std::string ToString(const SocketAddress& aAddress);

} // namespace oleanderledge::stand_in
