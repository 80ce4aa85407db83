#pragma once

#include "oleanderledge/base/base.hpp"

#include <string>

namespace oleanderledge {

/// Admits one operation of an organisation.
struct OperationToken
{
  std::string organisation;
  Instant expiresAt{};  ///< A token that was not used by then is lost.
  bool isShare = false; ///< Taken from a standing share, otherwise granted on demand.
};

} // namespace oleanderledge
