#include "oleanderledge/consensus/Membership.hpp"

#include "oleanderledge/consensus/ByteCodec.hpp"

#include <algorithm>
#include <set>

namespace oleanderledge {

namespace {

bool HasSameAttributes(const ControlMember& aLeft, const ControlMember& aRight)
{
  return aLeft.instance == aRight.instance && aLeft.linkAddress == aRight.linkAddress &&
         aLeft.voter == aRight.voter && aLeft.replacement == aRight.replacement;
}

/// Bits of the stored form of a member.
constexpr std::uint8_t kVoterBit = 1;
constexpr std::uint8_t kIncomingBit = 2;
constexpr std::uint8_t kOutgoingBit = 4;

std::uint8_t EncodeVoting(const ControlMember& aMember)
{
  switch (aMember.replacement) {
    case ReplacementPart::Incoming:
      return kVoterBit | kIncomingBit;
    case ReplacementPart::Outgoing:
      return kVoterBit | kOutgoingBit;
    case ReplacementPart::None:
      break;
  }
  return aMember.voter ? kVoterBit : 0;
}

void DecodeVoting(std::uint8_t aBits, ControlMember& aMember)
{
  aMember.voter = aBits != 0;
  if ((aBits & kIncomingBit) != 0) {
    aMember.replacement = ReplacementPart::Incoming;
  } else if ((aBits & kOutgoingBit) != 0) {
    aMember.replacement = ReplacementPart::Outgoing;
  }
}

const ControlMember* FindPart(const std::vector<ControlMember>& aMembers, ReplacementPart aPart)
{
  const auto found = std::ranges::find(aMembers, aPart, &ControlMember::replacement);
  return found == aMembers.end() ? nullptr : &*found;
}

/// True if `aNew` is `aOld` with a plain voter that became the outgoing one, and a learner that
/// became the incoming one.
bool StartsReplacement(const std::vector<ControlMember>& aOld,
                       const std::vector<ControlMember>& aNew)
{
  const ControlMember* incoming = FindPart(aNew, ReplacementPart::Incoming);
  const ControlMember* outgoing = FindPart(aNew, ReplacementPart::Outgoing);
  if (IsReplacementInProgress(aOld) || incoming == nullptr || outgoing == nullptr) {
    return false;
  }
  const ControlMember* incomingBefore = FindMember(aOld, incoming->id);
  return incomingBefore != nullptr && !incomingBefore->voter && IsVoter(aOld, outgoing->id) &&
         aNew == WithReplacementStarted(aOld, outgoing->id, incoming->id);
}

/// True if `aNew` is `aOld` with the replacement in progress completed.
bool CompletesReplacement(const std::vector<ControlMember>& aOld,
                          const std::vector<ControlMember>& aNew)
{
  return IsReplacementInProgress(aOld) && (aNew == WithReplacementCompleted(aOld, true) ||
                                           aNew == WithReplacementCompleted(aOld, false));
}

void WriteMembers(ByteWriter& aWriter, const std::vector<ControlMember>& aMembers)
{
  aWriter.PutU32(static_cast<std::uint32_t>(aMembers.size()));
  for (const ControlMember& member : aMembers) {
    aWriter.PutString(member.id);
    aWriter.PutString(member.instance);
    aWriter.PutString(member.linkAddress);
    aWriter.PutU8(EncodeVoting(member));
  }
}

std::vector<ControlMember> ReadMembers(ByteReader& aReader)
{
  std::vector<ControlMember> members;
  const std::uint32_t count = aReader.GetU32();
  for (std::uint32_t at = 0; at < count && aReader.IsValid(); ++at) {
    ControlMember member;
    member.id = aReader.GetString();
    member.instance = aReader.GetString();
    member.linkAddress = aReader.GetString();
    DecodeVoting(aReader.GetU8(), member);
    members.push_back(std::move(member));
  }
  return members;
}

} // namespace

const ControlMember* FindMember(const std::vector<ControlMember>& aMembers, std::string_view aId)
{
  const auto found =
    std::ranges::find_if(aMembers, [aId](const ControlMember& aEach) { return aEach.id == aId; });
  return found == aMembers.end() ? nullptr : &*found;
}

bool IsVoter(const std::vector<ControlMember>& aMembers, std::string_view aId)
{
  const ControlMember* member = FindMember(aMembers, aId);
  return member != nullptr && member->voter;
}

std::size_t CountVoters(const std::vector<ControlMember>& aMembers)
{
  return static_cast<std::size_t>(std::ranges::count_if(aMembers, &ControlMember::voter));
}

std::string ShortMemberId(std::string_view aId)
{
  return std::string(aId.substr(0, 8));
}

std::string DescribeMember(const ControlMember& aMember)
{
  return aMember.instance + "/" + ShortMemberId(aMember.id);
}

bool IsReplacementInProgress(const std::vector<ControlMember>& aMembers)
{
  return std::ranges::any_of(aMembers, [](const ControlMember& aMember) {
    return aMember.replacement != ReplacementPart::None;
  });
}

std::vector<ControlMember> WithReplacementStarted(std::vector<ControlMember> aMembers,
                                                  std::string_view aOutgoing,
                                                  std::string_view aIncoming)
{
  for (ControlMember& member : aMembers) {
    if (member.id == aOutgoing) {
      member.replacement = ReplacementPart::Outgoing;
    } else if (member.id == aIncoming) {
      member.voter = true;
      member.replacement = ReplacementPart::Incoming;
    }
  }
  return aMembers;
}

std::vector<ControlMember> WithReplacementCompleted(std::vector<ControlMember> aMembers,
                                                    bool aKeepsOutgoing)
{
  if (!aKeepsOutgoing) {
    std::erase_if(aMembers, [](const ControlMember& aMember) {
      return aMember.replacement == ReplacementPart::Outgoing;
    });
  }
  for (ControlMember& member : aMembers) {
    member.voter = member.voter && member.replacement != ReplacementPart::Outgoing;
    member.replacement = ReplacementPart::None;
  }
  return aMembers;
}

std::string EncodeMembers(const std::vector<ControlMember>& aMembers)
{
  ByteWriter writer;
  WriteMembers(writer, aMembers);
  return writer.TakeBytes();
}

Result<std::vector<ControlMember>> DecodeMembers(std::string_view aBytes)
{
  ByteReader reader(aBytes);
  auto members = ReadMembers(reader);
  if (!reader.IsValid() || !reader.RemainingBytes().empty()) {
    return Fail(ResultCode::MalformedFrame, "malformed list of control members");
  }
  return members;
}

std::string EncodeSnapshotContent(const std::vector<ControlMember>& aMembers,
                                  std::string_view aState)
{
  ByteWriter writer;
  WriteMembers(writer, aMembers);
  writer.PutString(aState);
  return writer.TakeBytes();
}

Result<SnapshotContent> DecodeSnapshotContent(std::string_view aBytes)
{
  ByteReader reader(aBytes);
  SnapshotContent content;
  content.members = ReadMembers(reader);
  content.state = reader.GetString();
  if (!reader.IsValid() || !reader.RemainingBytes().empty()) {
    return Fail(ResultCode::MalformedFrame, "malformed snapshot content");
  }
  return content;
}

Result<void> CheckMembershipChange(const std::vector<ControlMember>& aOld,
                                   const std::vector<ControlMember>& aNew)
{
  if (CompletesReplacement(aOld, aNew) || StartsReplacement(aOld, aNew)) {
    return boost::outcome_v2::success();
  }
  if (IsReplacementInProgress(aOld) || IsReplacementInProgress(aNew)) {
    return Fail(ResultCode::InvalidMembershipChange,
                "while a voter is being replaced, only that change can be completed");
  }
  std::set<std::string_view> ids;
  int differences = 0;
  for (const ControlMember& member : aNew) {
    if (member.id.empty() || !ids.insert(member.id).second) {
      return Fail(ResultCode::InvalidMembershipChange, "empty or duplicate member id");
    }
    const ControlMember* before = FindMember(aOld, member.id);
    if (before == nullptr && member.voter) {
      // A voter that lacks the log would delay commits until it has caught up.
      return Fail(ResultCode::InvalidMembershipChange,
                  member.id + " is new and must be added as a learner");
    }
    differences += before == nullptr || !HasSameAttributes(*before, member) ? 1 : 0;
  }
  for (const ControlMember& member : aOld) {
    differences += ids.contains(member.id) ? 0 : 1;
  }
  if (differences != 1) {
    return Fail(ResultCode::InvalidMembershipChange,
                std::to_string(differences) + " members differ, but exactly one must change");
  }
  if (CountVoters(aNew) == 0) {
    return Fail(ResultCode::InvalidMembershipChange, "the new list has no voter");
  }
  return boost::outcome_v2::success();
}

} // namespace oleanderledge
