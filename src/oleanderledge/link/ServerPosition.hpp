#pragma once

#include "oleanderledge/base/base.hpp"

namespace oleanderledge {

/// What a backend server says of its log.
struct ServerPosition
{
  LogPosition received;
  bool leads = false; ///< The server is the primary of its service.
};

} // namespace oleanderledge
