/// Public header of the daemon library: the processes of the fleet.
#pragma once

#include "oleanderledge/daemon/ControlContact.hpp"
#include "oleanderledge/daemon/RunDaemon.hpp"
