/// Public header of the organisations library: identification of callers by key. Decisions only, no
/// I/O.
#pragma once

#include "oleanderledge/organisations/KeyDigest.hpp"
#include "oleanderledge/organisations/KeyGate.hpp"
