/// Public header of the consensus library: the replicated log of the control group.
///
/// RaftNode is the state machine without I/O. The library `ol_consensus_driver`
/// (internal/ConsensusDriver) connects it to storage, timers and links and implements
/// ReplicatedLog.
#pragma once

#include "oleanderledge/consensus/ByteCodec.hpp"
#include "oleanderledge/consensus/GroupMaintenance.hpp"
#include "oleanderledge/consensus/LeaderWatch.hpp"
#include "oleanderledge/consensus/MemberContacts.hpp"
#include "oleanderledge/consensus/Membership.hpp"
#include "oleanderledge/consensus/PersistentState.hpp"
#include "oleanderledge/consensus/RaftActions.hpp"
#include "oleanderledge/consensus/RaftNode.hpp"
#include "oleanderledge/consensus/RaftSettings.hpp"
#include "oleanderledge/consensus/ReplicatedLog.hpp"
#include "oleanderledge/consensus/ReplicationWatch.hpp"
#include "oleanderledge/consensus/SnapshotPolicy.hpp"
