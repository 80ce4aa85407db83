/// Public header of the platform library: the users' platform as the product meets it. The only
/// place that knows the platform's names and formats; it decides nothing.
#pragma once

#include "oleanderledge/platform/ControlMessages.hpp"
#include "oleanderledge/platform/ControlPlaneServer.hpp"
#include "oleanderledge/platform/PromotionClient.hpp"
#include "oleanderledge/platform/ReadinessServer.hpp"
#include "oleanderledge/platform/WireProtocol.hpp"
