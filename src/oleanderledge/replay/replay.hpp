/// Public header of the replay library: feeds recorded scheduling events to the deadline scheduler.
#pragma once

#include "oleanderledge/replay/ExpectedOutcome.hpp"
#include "oleanderledge/replay/TraceReplay.hpp"
