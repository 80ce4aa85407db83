/// Public header of the cli library: the subcommands of the binary.
#pragma once

#include "oleanderledge/cli/Commands.hpp"
