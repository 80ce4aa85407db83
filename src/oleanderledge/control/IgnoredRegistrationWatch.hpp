#pragma once

#include "oleanderledge/link/RouteRows.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Finds out whether a backend server runs although its registrations are ignored: because it is
/// recorded as ended, or because a later start or a higher sequence number is recorded under its
/// id.
///
/// A delayed registration arrives once, or together with others. A server that runs repeats its
/// registration for as long as it runs. Performs no I/O and reads no clock.
class IgnoredRegistrationWatch
{
public:
  /// Registrations that go on for `aRegistrationTimeout` come from a server that runs, and a longer
  /// pause between two of them ends the series; see ServiceTimings::RegistrationTimeout().
  explicit IgnoredRegistrationWatch(Duration aRegistrationTimeout);

  /// Discards all series, because this member did not receive registrations for some time.
  void Clear() { this->seriesByBackend.clear(); }
  /// A registration of this server was not ignored.
  void OnAccepted(std::string_view aBackend);
  /// A registration was ignored because of the row with this version. Returns true if the server
  /// runs.
  bool OnIgnored(const BackendRow& aRegistration, std::uint64_t aRowVersion, Instant aNow);

private:
  /// Registrations of one start of a server with increasing sequence numbers, ignored because of
  /// the same row.
  struct Series
  {
    std::uint64_t rowVersion = 0;
    std::int64_t startedUnixMs = 0;
    std::uint64_t sequence = 0;
    Instant firstAt{};
    Instant lastAt{};
  };

  Duration registrationTimeout;
  std::map<std::string, Series, std::less<>> seriesByBackend;
};

} // namespace oleanderledge
