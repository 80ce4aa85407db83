/// Public header of the statements library: sessions of callers whose statements are executed on
/// pooled connections to registered backend servers.
#pragma once

#include "oleanderledge/statements/BackendHealth.hpp"
#include "oleanderledge/statements/BackendPace.hpp"
#include "oleanderledge/statements/CommitGate.hpp"
#include "oleanderledge/statements/CommitWitnesses.hpp"
#include "oleanderledge/statements/ConcurrencyWindow.hpp"
#include "oleanderledge/statements/ExponentialBackoff.hpp"
#include "oleanderledge/statements/PositionHistory.hpp"
#include "oleanderledge/statements/ReadPlacement.hpp"
#include "oleanderledge/statements/SessionCommits.hpp"
#include "oleanderledge/statements/StatementProtocol.hpp"
#include "oleanderledge/statements/StatementService.hpp"
#include "oleanderledge/statements/StatementTypes.hpp"
#include "oleanderledge/statements/StatusProbe.hpp"
#include "oleanderledge/statements/WaitForecast.hpp"
