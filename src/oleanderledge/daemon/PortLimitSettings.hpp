#pragma once

#include "oleanderledge/settings/settings.hpp"
#include "oleanderledge/transport/HttpClients.hpp"
#include "oleanderledge/transport/LinkLimits.hpp"

namespace oleanderledge {

/// Limits on the clients of HTTP servers from the settings of a daemon.
inline HttpLimits ToHttpLimits(const PortLimits& aLimits)
{
  HttpLimits limits;
  limits.connections = aLimits.httpConnections;
  limits.headBytes = aLimits.httpHeadBytes;
  limits.bodyBytes = aLimits.httpBodyBytes;
  limits.requestTime = std::chrono::milliseconds(aLimits.httpRequestMs);
  limits.idleTime = std::chrono::milliseconds(aLimits.httpIdleMs);
  return limits;
}

/// Limits on the peers of links from the settings of a daemon.
inline LinkLimits ToLinkLimits(const PortLimits& aLimits)
{
  LinkLimits limits;
  limits.connections = aLimits.linkConnections;
  limits.frameBytes = aLimits.linkFrameBytes;
  limits.frameTime = std::chrono::milliseconds(aLimits.linkFrameMs);
  limits.unreadBytes = aLimits.linkUnreadBytes;
  return limits;
}

} // namespace oleanderledge
