#pragma once

#include "oleanderledge/control/AnnouncementMonitor.hpp"
#include "oleanderledge/control/ControlCommand.hpp"
#include "oleanderledge/control/ControlTimings.hpp"
#include "oleanderledge/control/DatabaseTable.hpp"

#include <optional>

namespace oleanderledge {

/// Keeps the committed slots of a database in line with their announcements.
class SlotReconciler
{
public:
  /// The next change that the announcements call for. `aRecord` is null for an unknown database.
  static std::optional<ControlCommand> NextChange(std::string_view aDatabase,
                                                  const DatabaseRecord* aRecord,
                                                  const AnnouncementMonitor& aSlots,
                                                  const ControlTimings& aTimings,
                                                  Instant aNow);
};

} // namespace oleanderledge
