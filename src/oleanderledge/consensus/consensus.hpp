/// Public header of the consensus library: the replicated log of the control group.
#pragma once

#include "oleanderledge/consensus/ReplicatedLog.hpp"
