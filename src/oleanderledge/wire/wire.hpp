/// Public header of the wire library: messages of the PostgreSQL protocol, version 3.0, as
/// described in the chapter "Frontend/Backend Protocol" of the PostgreSQL 15 documentation.
#pragma once

#include "oleanderledge/wire/Builders.hpp"
#include "oleanderledge/wire/MessageReader.hpp"
#include "oleanderledge/wire/MessageView.hpp"
#include "oleanderledge/wire/StartupPacket.hpp"
#include "oleanderledge/wire/StatementRecognizer.hpp"
