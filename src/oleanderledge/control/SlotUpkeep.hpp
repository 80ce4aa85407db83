#pragma once

#include "oleanderledge/control/ControlCommand.hpp"
#include "oleanderledge/control/ControlTimings.hpp"
#include "oleanderledge/control/DatabaseTable.hpp"
#include "oleanderledge/control/BackendMonitor.hpp"

#include <optional>

namespace oleanderledge {

/// Keeps the committed slots of a database in line with their announcements.
class SlotUpkeep
{
public:
  /// The next change that the announcements call for. `aRecord` is null for an unknown database.
  static std::optional<ControlCommand> NextChange(std::string_view aDatabase,
                                                  const DatabaseRecord* aRecord,
                                                  const BackendMonitor& aSlots,
                                                  const ControlTimings& aTimings,
                                                  Instant aNow);
};

} // namespace oleanderledge
