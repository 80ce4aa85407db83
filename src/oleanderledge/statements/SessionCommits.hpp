#pragma once

#include "oleanderledge/base/base.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Positions of the commits that were acknowledged to one session, which its reads must see.
///
/// Each service has a log of its own, and positions of different logs are not comparable. The route
/// of a session can lead to another service and back, so commits are kept for each service. Free of
/// I/O.
class SessionCommits
{
public:
  /// Records a commit of the session on a service.
  void Record(std::string_view aService, const LogPosition& aPosition);

  /// The newest commit of the session on a service; nothing if there is none.
  std::optional<LogPosition> NewestOn(std::string_view aService) const;

private:
  std::map<std::string, LogPosition, std::less<>> newest; ///< By service.
};

} // namespace oleanderledge
