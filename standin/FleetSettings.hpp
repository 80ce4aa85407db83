#pragma once

#include "SlotSettings.hpp"

#include <string>
#include <vector>

namespace oleanderledge::stand_in {

/// The outcome of reading a fleet file.
struct FleetSettings
{
  std::vector<SlotSettings> slots;
  std::string error; ///< Empty if the file is valid.
};

/// Reads the slots of a fleet from a YAML file. `peers` and `announce` of each slot are filled in.
///
/// Keys: `announce` (list of HTTP addresses), `defaults` (service_ms, connect_delay_ms,
/// client_latency_us, receive_lag_ms, apply_lag_ms, announce_interval_ms, connection_limit),
/// `schemas` (SQL by service) and `databases`: a list of `database`, `service`, optional
/// `connection_limit`, and `slots`: a list of `slot`, `zone`, `listen: {client, replication, http}`
/// and, for one of them, `primary: true`.
FleetSettings ReadFleetFile(const std::string& aPath);

} // namespace oleanderledge::stand_in
