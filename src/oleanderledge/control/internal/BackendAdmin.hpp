#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/control/Announcement.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace oleanderledge {

/// Calls the SQL functions of the platform on backend servers, whose addresses are "ip:port".
class BackendAdmin
{
public:
  /// Called once, from the event loop and never from inside the call; not called if the
  /// BackendAdmin is destroyed before. Failed calls have the code BackendConnectionLost.
  using Callback = std::function<void(const Result<PlatformStatus>&)>;

  virtual ~BackendAdmin() = default;

  /// Runs `platform_promote(aTerm)`. The answer holds the role and the term, but no log positions.
  virtual void Promote(const std::string& aDatabase,
                       const std::string& aAddress,
                       std::uint64_t aTerm,
                       Callback aCallback) = 0;
  /// Runs `platform_status()`. The answer holds the role, the term and the log positions.
  virtual void QueryStatus(const std::string& aDatabase,
                           const std::string& aAddress,
                           Callback aCallback) = 0;
};

} // namespace oleanderledge
