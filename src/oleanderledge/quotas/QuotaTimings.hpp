#pragma once

#include "oleanderledge/base/base.hpp"

namespace oleanderledge {

/// Time after the request within which a granted token may be used. Tokens that are used late add
/// to those of the next window: 0.25 s of the rate, half of the overage of 10 % in 5 s.
constexpr Duration kTokenValidity = std::chrono::milliseconds(250);
/// A request without a reply is given up after this time; its tokens have almost expired then.
constexpr Duration kTokenRequestTimeout = std::chrono::milliseconds(200);
/// If a request has had no reply for this time, operations use the reserve of the standing share. A
/// reply from another region takes 50 ms, and the shortest wait of an operation is 100 ms.
constexpr Duration kLeaderSilence = std::chrono::milliseconds(75);
/// Time for which the reserve is used at once after that, before the leader is waited for again.
constexpr Duration kLeaderMissingTime = std::chrono::milliseconds(200);
/// Time after the heartbeat whose reply confirmed it for which a standing share is valid.
constexpr Duration kShareValidity = std::chrono::milliseconds(4500);
/// Pause between a denial and the next request for the same organisation, so that a flood costs the
/// leader at most 20 requests/s from each proxy.
constexpr Duration kDenialPause = std::chrono::milliseconds(50);
/// Retry delay for callers while there is no leader: the time of an election.
constexpr Duration kRetryAfterNoLeader = std::chrono::milliseconds(500);

} // namespace oleanderledge
