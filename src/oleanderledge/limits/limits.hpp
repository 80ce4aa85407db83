/// Public header of the library `limits`: bounds on what a process holds for its clients.
#pragma once

#include "oleanderledge/limits/ClientLimits.hpp"
#include "oleanderledge/limits/LargeBlocks.hpp"
#include "oleanderledge/limits/ResourceBudget.hpp"
