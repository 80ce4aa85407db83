#pragma once

#include "oleanderledge/control/AnnouncementMonitor.hpp"
#include "oleanderledge/control/ControlCommand.hpp"
#include "oleanderledge/control/ControlTimings.hpp"
#include "oleanderledge/control/DatabaseTable.hpp"

#include <optional>

namespace oleanderledge {

/// Reconciles the committed slots of a database with their announcements.
class SlotReconciler
{
public:
  /// The next command that brings the committed slots closer to the announced ones, or nothing if
  /// they agree. `aRecord` is null for an unknown database.
  static std::optional<ControlCommand> NextChange(std::string_view aDatabase,
                                                  const DatabaseRecord* aRecord,
                                                  const AnnouncementMonitor& aSlots,
                                                  const ControlTimings& aTimings,
                                                  Instant aNow);
};

} // namespace oleanderledge
