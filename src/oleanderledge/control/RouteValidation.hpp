#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/RouteRows.hpp"

namespace oleanderledge {

/// Checks that a configuration makes sense: every route names a service of the configuration, no
/// two routes serve the same place, and no time limit is 0. Fails with InvalidRoutes.
Result<void> ValidateRoutes(const RouteConfiguration& aConfiguration);

} // namespace oleanderledge
