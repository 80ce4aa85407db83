/// Public header of the storage library: the durable state of a control member in its data folder.
#pragma once

#include "oleanderledge/storage/FileSystem.hpp"
#include "oleanderledge/storage/MemberStorage.hpp"
#include "oleanderledge/storage/PosixFileSystem.hpp"
