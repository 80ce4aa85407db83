#pragma once

#include "oleanderledge/owner/internal/OwnerTypes.hpp"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace oleanderledge {

/// A finished write whose answer waits until the in-sync set has received its position.
struct HeldAcknowledgement
{
  LinkId link = 0;
  StatementReply reply;
  LogPosition position;
  Instant heldSince;
  Instant arrival;
  std::string workClass;
};

/// The held answers of one database, in order of their positions' arrival.
class HeldAcknowledgements
{
public:
  void Add(HeldAcknowledgement aHeld) { this->held.push_back(std::move(aHeld)); }

  /// Removes and returns those for which the predicate is true.
  std::vector<HeldAcknowledgement> TakeIf(
    const std::function<bool(const HeldAcknowledgement&)>& aMatches);

  bool IsEmpty() const { return this->held.empty(); }
  bool HasChannel(ChannelKey aChannel) const;
  /// Start of the longest wait, `aNow` if nothing is held.
  Instant OldestHeldSince(Instant aNow) const;
  LogPosition NewestPosition() const;

private:
  std::deque<HeldAcknowledgement> held;
};

} // namespace oleanderledge
