#pragma once

#include "oleanderledge/base/base.hpp"

namespace oleanderledge {

/// Lease lengths and timeouts of the control group.
struct ControlTimings
{
  /// Length of the write lease of an owner, counted from the time at which the owner sent its
  /// heartbeat.
  Duration leaseLength = std::chrono::milliseconds(1000);
  /// Allowance for the drift of monotonic clocks, in percent of the lease length.
  int driftPercent = 2;
  /// A proxy that sent no heartbeat for this time counts as dead: six intervals of 200 ms.
  Duration proxyDeadAfter = std::chrono::milliseconds(1200);
  /// A failover starts if the owner did not reach the primary and no announcement of it arrived for
  /// this time.
  Duration primarySilentAfter = std::chrono::milliseconds(600);
  /// A slot that was not announced for this time is published as silent.
  Duration slotSilentAfter = std::chrono::milliseconds(1000);
  /// A departing slot that was not announced for this time is removed, unless it is primary or in
  /// sync.
  Duration slotRemovedAfter = std::chrono::seconds(30);
  /// A process that sent no heartbeat for this time is removed, unless it owns databases.
  Duration instanceForgottenAfter = std::chrono::seconds(60);
  /// Minimum time between a change of primary and the next unplanned failover of the database;
  /// prevents flapping.
  Duration failoverHoldOff = std::chrono::milliseconds(2000);
  /// A fenced database enters the phase `waiting` if no slot of its in-sync set was reachable for
  /// this time.
  Duration successorWait = std::chrono::milliseconds(600);
  /// If a promotion is not confirmed within this time, another reachable slot of the in-sync set is
  /// promoted instead.
  Duration promotionTimeout = std::chrono::milliseconds(1500);
  /// Minimum interval of calls to one backend server.
  Duration backendCallInterval = std::chrono::milliseconds(100);
  /// Time for which a leader knows a database before it chooses the first primary and owner of it.
  /// Without it, the choice would depend on which announcement or heartbeat arrives first.
  Duration discoveryDelay = std::chrono::milliseconds(500);
  /// Reassignments and failovers that start per second after a burst of `reassignmentBurst`. Limits
  /// the load of new connections after the loss of a zone: of 2,500 databases in 18 zones about 140
  /// are in one zone, and all of these start within 1 s.
  int reassignmentsPerSecond = 100;
  int reassignmentBurst = 50;

  /// Longest time for which a lease that is granted now may be in use at its owner.
  Duration LeaseUpperBound() const
  {
    return this->leaseLength + this->leaseLength * this->driftPercent / 100;
  }
};

} // namespace oleanderledge
