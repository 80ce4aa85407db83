/// Public header of the base library: times, positions, zones, addresses, result codes and log
/// events.
#pragma once

#include "oleanderledge/base/Error.hpp"
#include "oleanderledge/base/IpAddress.hpp"
#include "oleanderledge/base/LogEvent.hpp"
#include "oleanderledge/base/LogPosition.hpp"
#include "oleanderledge/base/ResultCode.hpp"
#include "oleanderledge/base/Time.hpp"
#include "oleanderledge/base/Zone.hpp"
