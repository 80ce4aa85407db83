#include "oleanderledge/consensus/Membership.hpp"

#include "oleanderledge/consensus/ByteCodec.hpp"

#include <algorithm>
#include <set>

namespace oleanderledge {

namespace {

bool HasSameAttributes(const ControlMember& aLeft, const ControlMember& aRight)
{
  return aLeft.instance == aRight.instance && aLeft.linkAddress == aRight.linkAddress &&
         aLeft.voter == aRight.voter;
}

void WriteMembers(ByteWriter& aWriter, const std::vector<ControlMember>& aMembers)
{
  aWriter.PutU32(static_cast<std::uint32_t>(aMembers.size()));
  for (const ControlMember& member : aMembers) {
    aWriter.PutString(member.id);
    aWriter.PutString(member.instance);
    aWriter.PutString(member.linkAddress);
    aWriter.PutU8(member.voter ? 1 : 0);
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
    member.voter = aReader.GetU8() != 0;
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
