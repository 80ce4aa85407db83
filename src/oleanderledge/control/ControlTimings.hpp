#pragma once

#include "oleanderledge/base/base.hpp"

namespace oleanderledge {

/// Lengths of leases and time-outs of the control group.
struct ControlTimings
{
  /// Write lease of an owner, counted by the owner from the time it sent its heartbeat.
  Duration leaseLength = std::chrono::milliseconds(1000);
  /// Allowance for the drift of monotonic clocks, in percent of a lease.
  int driftPercent = 2;
  /// A proxy without a heartbeat for this time is dead: six heartbeats of 200 ms.
  Duration proxyDeadAfter = std::chrono::milliseconds(1200);
  /// Silence of a primary, at its owner and in announcements, that starts a failover.
  Duration primarySilentAfter = std::chrono::milliseconds(600);
  /// Silence of announcements after which a slot is published as silent.
  Duration slotSilentAfter = std::chrono::milliseconds(1000);
  /// Departed slots are forgotten after this silence.
  Duration slotRemovedAfter = std::chrono::seconds(30);
  /// Dead processes are forgotten after this time.
  Duration instanceForgottenAfter = std::chrono::seconds(60);
  /// Pause between two unplanned failovers of a database; damps flapping.
  Duration failoverHoldOff = std::chrono::milliseconds(2000);
  /// A fenced database without a reachable slot of its in-sync set waits after this time.
  Duration successorWait = std::chrono::milliseconds(600);
  /// A decided slot that has not confirmed within this time gives way to another, if there is one.
  Duration promotionTimeout = std::chrono::milliseconds(1500);
  /// Pause between calls to one backend server.
  Duration backendCallInterval = std::chrono::milliseconds(100);
  /// A new database or a new leader waits this long before first assignments, so that the first
  /// announcement or proxy seen does not win by accident.
  Duration discoveryDelay = std::chrono::milliseconds(500);
  /// Reassignments and failovers started per second after a burst of `reassignmentBurst`. Bounds
  /// the load of new connections after the loss of a zone: 2,500 databases in 18 zones are about
  /// 140 in one zone, which start within 1 s.
  int reassignmentsPerSecond = 100;
  int reassignmentBurst = 50;

  /// Longest time for which a lease granted now may be in use at its owner.
  Duration LeaseUpperBound() const
  {
    return this->leaseLength + this->leaseLength * this->driftPercent / 100;
  }
};

} // namespace oleanderledge
