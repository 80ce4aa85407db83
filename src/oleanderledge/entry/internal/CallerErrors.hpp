#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Builds the ErrorResponse for a result code. The message ends with the number of the code and
/// whether the statement ran, for example "... [1203, unknown]". An empty detail gives the default
/// text of the code. The hint says when to retry if `aRetryAfterMs` is over 0 or the code implies
/// that a retry helps.
std::string BuildCallerError(std::string_view aSeverity,
                             ResultCode aCode,
                             RunState aRunState,
                             std::string_view aDetail = {},
                             std::int64_t aRetryAfterMs = 0);

} // namespace oleanderledge
