/// Public header of the control library: replicated control state, membership, leases, failover and
/// operator requests.
#pragma once

#include "oleanderledge/control/ControlLeader.hpp"
#include "oleanderledge/control/ControlSettings.hpp"
#include "oleanderledge/control/ControlState.hpp"
