/// Public header of the platform library: adapters to the users' platform. Only this library
/// contains the platform's names and message formats; it makes no decisions.
#pragma once

#include "oleanderledge/platform/ControlMessages.hpp"
#include "oleanderledge/platform/ControlPlaneServer.hpp"
#include "oleanderledge/platform/PromotionClient.hpp"
#include "oleanderledge/platform/ReadinessServer.hpp"
#include "oleanderledge/platform/WireProtocol.hpp"
