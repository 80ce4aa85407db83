/// Public header of the settings library: settings files of the daemons.
#pragma once

#include "oleanderledge/settings/Settings.hpp"
