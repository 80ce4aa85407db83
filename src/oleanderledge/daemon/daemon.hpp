/// Public header of the daemon library: the proxy process.
#pragma once

#include "oleanderledge/daemon/ControlContact.hpp"
