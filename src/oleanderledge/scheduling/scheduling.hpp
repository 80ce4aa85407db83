/// Public header of the scheduling library: which queued unit of a database runs next.
#pragma once

#include "oleanderledge/scheduling/DeadlineScheduler.hpp"
#include "oleanderledge/scheduling/FifoScheduler.hpp"
#include "oleanderledge/scheduling/PriorityScheduler.hpp"
#include "oleanderledge/scheduling/Scheduler.hpp"
