#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/RouteRows.hpp"

namespace oleanderledge {

/// Validates a configuration: service names are unique and not empty, every route refers to a
/// service of the configuration, no two routes have the same database and path prefix, no statement
/// timeout is 0, organisation names are unique and not empty, and no two organisations share a key.
/// Fails with InvalidRoutes.
Result<void> ValidateRoutes(const RouteConfiguration& aConfiguration);

} // namespace oleanderledge
