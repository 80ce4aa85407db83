#pragma once

#include "oleanderledge/limits/limits.hpp"
#include "oleanderledge/settings/settings.hpp"

namespace oleanderledge {

/// Limits of a process for all of its clients, from its settings and from the descriptors that it
/// may open.
BudgetLimits BudgetLimitsOf(const ProxyLimits& aLimits);

/// Limits of each client.
ClientLimits ClientLimitsOf(const ProxyLimits& aLimits);

} // namespace oleanderledge
