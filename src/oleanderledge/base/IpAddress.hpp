#pragma once

#include <string_view>

namespace oleanderledge {

/// True for "ip:port" with a literal IPv4 or IPv6 address and a port from 1 to 65535.
bool IsIpAndPort(std::string_view aText);

} // namespace oleanderledge
