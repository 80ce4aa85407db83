#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace oleanderledge {

/// Admits one operation of an organisation.
struct OperationToken
{
  std::string organisation;
  Instant expiresAt{};  ///< A token that was not used by then is lost.
  bool isShare = false; ///< Taken from a standing share, otherwise granted on demand.
};

/// An operation that needs a token.
struct OperationDemand
{
  std::string organisation;
  std::uint32_t priority = 0; ///< 0 is the most urgent.
  Instant deadline{};         ///< Until when the operation may wait for a token.
};

/// Whether an operation may run.
struct TokenDecision
{
  std::optional<OperationToken> token; ///< Empty: the operation is refused.
  Duration retryAfter{ 0 };            ///< If refused: when a token may be had.
};

} // namespace oleanderledge
