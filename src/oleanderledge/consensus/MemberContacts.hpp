#pragma once

#include "oleanderledge/link/link.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Member id of the sender of a consensus message, or empty for other messages.
std::string SenderOf(const Message& aMessage);

/// Records what arrived from each member id, for log lines. A link identifies the instance, not the
/// member: an instance that lost its data folder answers on the same link under a new member id.
/// Performs no I/O.
class MemberContacts
{
public:
  /// The answer of a voter to a pre-vote of this member.
  struct PreVote
  {
    bool isGranted = false;
    VoteRefusal refusal = VoteRefusal::Unknown;
    Instant at{};
  };
  struct Contact
  {
    Instant heardAt{}; ///< When a consensus message of the member arrived last.
    std::optional<PreVote> preVote;
  };

  /// Records a message that arrived from an instance.
  void OnMessage(const std::string& aInstance, const Message& aMessage, Instant aNow);

  /// Null if no consensus message of the member has arrived.
  const Contact* Find(std::string_view aMember) const;
  /// The member id in the last message of an instance; empty if there was none.
  std::string LastIdOf(std::string_view aInstance) const;

private:
  /// The contact of a member, which is added if it is new.
  Contact& ContactOf(const std::string& aMember);

  std::map<std::string, Contact, std::less<>> contacts;         ///< By member id.
  std::map<std::string, std::string, std::less<>> idByInstance; ///< Member id by instance id.
};

} // namespace oleanderledge
