/// Public header of the entry library: the entry role of a proxy.
#pragma once

#include "oleanderledge/entry/EntryService.hpp"
#include "oleanderledge/entry/EntrySettings.hpp"
#include "oleanderledge/entry/OwnerLinks.hpp"
#include "oleanderledge/entry/ProxyLinks.hpp"
