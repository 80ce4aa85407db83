/// Public header of the link library: messages between our processes and their encoding.
#pragma once

#include "oleanderledge/link/Codec.hpp"
#include "oleanderledge/link/Directory.hpp"
#include "oleanderledge/link/FrameReader.hpp"
#include "oleanderledge/link/Messages.hpp"
