#include "oleanderledge/consensus/MemberContacts.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Each loss of a data folder adds a member id. The one that was silent for longest is dropped.
constexpr std::size_t kMaxContacts = 64;

} // namespace

std::string SenderOf(const Message& aMessage)
{
  if (const auto* vote = std::get_if<VoteRequest>(&aMessage)) {
    return vote->candidate;
  }
  if (const auto* vote = std::get_if<VoteReply>(&aMessage)) {
    return vote->voter;
  }
  if (const auto* append = std::get_if<AppendRequest>(&aMessage)) {
    return append->leader;
  }
  if (const auto* append = std::get_if<AppendReply>(&aMessage)) {
    return append->follower;
  }
  if (const auto* snapshot = std::get_if<SnapshotRequest>(&aMessage)) {
    return snapshot->leader;
  }
  if (const auto* snapshot = std::get_if<SnapshotReply>(&aMessage)) {
    return snapshot->follower;
  }
  return {};
}

void MemberContacts::OnMessage(const std::string& aInstance, const Message& aMessage, Instant aNow)
{
  if (this->idByInstance.size() >= kMaxContacts && !this->idByInstance.contains(aInstance)) {
    // Instances send messages all the time, so their ids are soon known again.
    this->idByInstance.clear();
  }
  if (const auto* join = std::get_if<JoinRequest>(&aMessage)) {
    // Members forward join requests of others.
    if (join->instance.id == aInstance) {
      this->idByInstance[aInstance] = join->memberId;
    }
    return;
  }
  const std::string sender = SenderOf(aMessage);
  if (sender.empty()) {
    return;
  }
  this->idByInstance[aInstance] = sender;
  Contact& contact = this->ContactOf(sender);
  contact.heardAt = aNow;
  const auto* vote = std::get_if<VoteReply>(&aMessage);
  if (vote != nullptr && vote->preVote) {
    contact.preVote = PreVote{ vote->granted, vote->refusal, aNow };
  }
}

MemberContacts::Contact& MemberContacts::ContactOf(const std::string& aMember)
{
  if (!this->contacts.contains(aMember) && this->contacts.size() >= kMaxContacts) {
    this->contacts.erase(std::ranges::min_element(
      this->contacts, {}, [](const auto& aEntry) { return aEntry.second.heardAt; }));
  }
  return this->contacts[aMember];
}

const MemberContacts::Contact* MemberContacts::Find(std::string_view aMember) const
{
  const auto found = this->contacts.find(aMember);
  return found == this->contacts.end() ? nullptr : &found->second;
}

std::string MemberContacts::LastIdOf(std::string_view aInstance) const
{
  const auto found = this->idByInstance.find(aInstance);
  return found == this->idByInstance.end() ? std::string{} : found->second;
}

} // namespace oleanderledge
