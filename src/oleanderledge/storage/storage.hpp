/// Public header of the storage library: the durable part of a control member in one data folder.
#pragma once

#include "oleanderledge/storage/FileSystem.hpp"
#include "oleanderledge/storage/MemberStorage.hpp"
#include "oleanderledge/storage/PosixFileSystem.hpp"
