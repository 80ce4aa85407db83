#pragma once

#include "oleanderledge/owner/internal/OwnerTypes.hpp"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace oleanderledge {

/// The reply to a finished write, held until the in-sync set has received the write's position.
struct HeldAcknowledgement
{
  LinkId link = 0;
  StatementReply reply;
  LogPosition position;
  Instant heldSince;
  Instant arrival; ///< When the unit reached the entry.
  std::string workClass;
};

/// The held acknowledgements of one database, in the order in which they were added.
class HeldAcknowledgements
{
public:
  void Add(HeldAcknowledgement aHeld) { this->held.push_back(std::move(aHeld)); }

  /// Removes and returns the entries for which the predicate is true.
  std::vector<HeldAcknowledgement> TakeIf(
    const std::function<bool(const HeldAcknowledgement&)>& aMatches);

  bool IsEmpty() const { return this->held.empty(); }
  bool HasChannel(ChannelKey aChannel) const;
  /// When the oldest entry was added; `aNow` if nothing is held.
  Instant OldestHeldSince(Instant aNow) const;
  /// The newest position of an entry; the zero position if nothing is held.
  LogPosition NewestPosition() const;

private:
  std::deque<HeldAcknowledgement> held;
};

} // namespace oleanderledge
