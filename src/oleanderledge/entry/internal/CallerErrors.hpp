#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Builds the ErrorResponse for a result code. The message is `aDetail`, or the default text of the
/// code if it is empty, followed by the number of the code and the run state, for example
/// "... [1203, unknown]". The hint says when to retry if `aRetryAfterMs` is greater than 0 or if
/// the code implies that a retry helps.
std::string BuildCallerError(std::string_view aSeverity,
                             ResultCode aCode,
                             RunState aRunState,
                             std::string_view aDetail = {},
                             std::int64_t aRetryAfterMs = 0);

} // namespace oleanderledge
