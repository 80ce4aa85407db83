#include "oleanderledge/entry/internal/CallerErrors.hpp"

#include "oleanderledge/wire/wire.hpp"

namespace oleanderledge {

namespace {

std::string HintOf(ResultCode aCode, RunState aRunState, std::int64_t aRetryAfterMs)
{
  if (aRunState == RunState::Unknown) {
    return "Check whether the statement took effect, or send it again with the same "
           "oleanderledge.request_id.";
  }
  if (aRunState == RunState::Ran) {
    return {};
  }
  if (aRetryAfterMs > 0) {
    return "Retry after " + std::to_string(aRetryAfterMs) + " ms.";
  }
  switch (aCode) {
    case ResultCode::Overloaded:
    case ResultCode::TargetUnreachable:
    case ResultCode::CallerShareExceeded:
    case ResultCode::NoOwner:
    case ResultCode::NoPrimary:
    case ResultCode::NotOwner:
    case ResultCode::NoEligibleReplica:
      return "Retry after 1000 ms.";
    case ResultCode::ShuttingDown:
      return "Connect again and retry.";
    default:
      return {};
  }
}

} // namespace

std::string BuildCallerError(std::string_view aSeverity,
                             ResultCode aCode,
                             RunState aRunState,
                             std::string_view aDetail,
                             std::int64_t aRetryAfterMs)
{
  const ResultCodeInfo& info = InfoOf(aCode);
  std::string message(aDetail.empty() ? info.text : aDetail);
  message += " [" + std::to_string(static_cast<unsigned>(aCode)) + ", ";
  message += ToString(aRunState);
  message += "]";
  return BuildErrorResponse(
    aSeverity, info.sqlstate, message, HintOf(aCode, aRunState, aRetryAfterMs));
}

} // namespace oleanderledge
