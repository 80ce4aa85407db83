/// Public header of the owner library: the owner role of a proxy.
#pragma once

#include "oleanderledge/owner/OwnerFactory.hpp"
#include "oleanderledge/owner/OwnerService.hpp"
