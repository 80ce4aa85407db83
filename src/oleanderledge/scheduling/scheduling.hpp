/// Public header of the scheduling library, which decides which queued unit of a database is
/// executed next.
#pragma once

#include "oleanderledge/scheduling/DeadlineScheduler.hpp"
#include "oleanderledge/scheduling/FifoScheduler.hpp"
#include "oleanderledge/scheduling/PriorityScheduler.hpp"
#include "oleanderledge/scheduling/Scheduler.hpp"
