/// Public header of the transport library: links between our processes over TCP with Qt.
#pragma once

#include "oleanderledge/transport/AcceptRetry.hpp"
#include "oleanderledge/transport/EmulatedLatency.hpp"
#include "oleanderledge/transport/HttpServer.hpp"
#include "oleanderledge/transport/LinkConnection.hpp"
#include "oleanderledge/transport/LinkServer.hpp"
#include "oleanderledge/transport/LinkTraffic.hpp"
#include "oleanderledge/transport/PeerLinks.hpp"
