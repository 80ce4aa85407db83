#include "oleanderledge/statements/StatementTypes.hpp"

namespace oleanderledge {

bool MeansNotExecuted(StatementError aError)
{
  switch (aError) {
    case StatementError::Unavailable:
    case StatementError::Lagging:
    case StatementError::ReadOnly:
    case StatementError::Misrouted:
    case StatementError::Overloaded:
    case StatementError::UnknownStatement:
      return true;
    default:
      return false;
  }
}

std::string_view ToString(StatementError aError)
{
  switch (aError) {
    case StatementError::Unavailable:
      return "unavailable";
    case StatementError::Aborted:
      return "aborted";
    case StatementError::Lagging:
      return "lagging";
    case StatementError::ReadOnly:
      return "read_only";
    case StatementError::Misrouted:
      return "misrouted";
    case StatementError::Overloaded:
      return "overloaded";
    case StatementError::Unknown:
      return "unknown";
    case StatementError::TimedOut:
      return "timed_out";
    case StatementError::Failed:
      return "failed";
    case StatementError::UnknownDatabase:
      return "unknown_database";
    case StatementError::UnknownStatement:
      return "unknown_statement";
    case StatementError::Unauthenticated:
      return "unauthenticated";
    case StatementError::Malformed:
      break;
  }
  return "malformed";
}

} // namespace oleanderledge
