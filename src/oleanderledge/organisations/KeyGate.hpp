#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/Directory.hpp"

#include <string>
#include <string_view>

namespace oleanderledge {

/// Whether a caller may use a route now.
enum class KeyVerdict
{
  Admitted,
  UnknownKey, ///< No organisation has the key, or it was withdrawn.
  /// The key may have been withdrawn without this proxy's knowledge.
  OutOfContact,
};

struct KeyDecision
{
  KeyVerdict verdict = KeyVerdict::Admitted;
  /// Organisation of an admitted caller; empty if the route needs no key.
  std::string organisation;
};

/// Decides whether the key of a caller admits it to a route. A key is trusted only for a limited
/// time after the directory that has it was known to be current, so that a withdrawn key ends
/// everywhere within a bounded time, also at a proxy that is cut off or was suspended.
class KeyGate
{
public:
  /// `aValidity` is that time; zero means that keys are trusted without a limit.
  explicit KeyGate(Duration aValidity)
    : validity(aValidity)
  {
  }

  /// The directory was current when a heartbeat of this time was sent.
  void SetDirectoryCurrentAt(Instant aHeartbeatSent);
  /// True if keys are not trusted any more, or not yet.
  bool IsOutOfContact(Instant aNow) const;
  /// `aKeyDigest` is the DigestOfKey() of the caller's key.
  KeyDecision Check(const Directory& aDirectory,
                    const RouteRow& aRoute,
                    std::string_view aKeyDigest,
                    Instant aNow) const;

private:
  Duration validity;
  Instant directoryCurrentAt{};
};

} // namespace oleanderledge
