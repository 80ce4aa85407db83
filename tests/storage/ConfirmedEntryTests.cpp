#include "tests/storage/MemoryFileSystem.hpp"

#include "oleanderledge/consensus/consensus.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <set>

using namespace oleanderledge;

namespace {

constexpr std::size_t kMemberCount = 5;
const std::string kFolder = "data";
const std::string kCommand = "acknowledged";

/// A member with a data folder and, while its process runs, a node.
struct Member
{
  void Start(Instant aNow)
  {
    this->files.RestartProcess();
    auto opened = MemberStorage::Open(this->files, kFolder);
    REQUIRE(opened);
    this->storage = std::move(opened.value());
    this->id = this->storage->MemberId();
    this->node.emplace(
      this->id, RaftSettings{}, this->storage->TakeLoadedState(), std::mt19937_64(1), aNow);
  }

  void Kill()
  {
    this->node.reset();
    this->storage.reset();
  }

  MemoryFileSystem files;
  std::unique_ptr<MemberStorage> storage;
  std::optional<RaftNode> node;
  std::string id;
};

/// A group of five members whose first one leads. Messages arrive at once, between the members that
/// are connected.
class GroupOnMemoryDisks
{
public:
  GroupOnMemoryDisks()
  {
    std::vector<ControlMember> voters;
    for (Member& member : this->members) {
      member.Start(this->now);
      voters.push_back({ member.id, member.id, "127.0.0.1:1", true });
    }
    const PersistBatch founding = RaftNode::FoundingBatch(voters);
    REQUIRE(this->members[0].storage->Persist(std::span(&founding, 1)));
    this->Restart({ 0, 1, 2, 3, 4 });
    this->Elect(0);
  }

  /// Ends the processes of some members, starts them again and connects only these.
  void Restart(const std::set<std::size_t>& aMembers)
  {
    this->connected = aMembers;
    for (const std::size_t at : aMembers) {
      this->members.at(at).Kill();
      this->members.at(at).Start(this->now);
    }
  }

  /// Lets one member campaign, after the time in which the others reject votes.
  void Elect(std::size_t aMember)
  {
    this->now += std::chrono::seconds(1);
    this->Tick(aMember);
  }

  void Tick(std::size_t aMember)
  {
    this->Execute(aMember, this->members.at(aMember).node->OnTick(this->now));
    this->DeliverMessages();
  }

  void Propose(std::size_t aMember)
  {
    this->Execute(aMember, this->members.at(aMember).node->Propose(1, kCommand, this->now));
    this->DeliverMessages();
  }

  bool IsLeading(std::size_t aMember) const
  {
    const auto& node = this->members.at(aMember).node;
    return node && node->Role() == RaftRole::Leader;
  }

  std::array<Member, kMemberCount> members;
  std::set<std::size_t> connected;
  Instant now{ std::chrono::seconds(100) };
  bool isAcknowledged = false;

private:
  void Execute(std::size_t aMember, const RaftActions& aActions)
  {
    Member& member = this->members.at(aMember);
    for (const RaftAction& action : aActions) {
      if (const auto* send = std::get_if<SendAction>(&action)) {
        this->messages.push_back(*send);
      } else if (const auto* result = std::get_if<ProposalResultAction>(&action)) {
        this->isAcknowledged = result->code == ResultCode::Ok;
      } else if (const auto* persist = std::get_if<PersistAction>(&action)) {
        if (!member.storage->Persist(std::span(&persist->batch, 1))) {
          member.Kill();
          return;
        }
        this->Execute(aMember, member.node->OnPersisted(persist->batch.sequence, this->now));
      }
    }
  }

  void DeliverMessages()
  {
    while (!this->messages.empty()) {
      const SendAction send = std::move(this->messages.front());
      this->messages.pop_front();
      const auto to = std::ranges::find(this->members, send.to, &Member::id);
      const auto at = static_cast<std::size_t>(to - this->members.begin());
      if (to != this->members.end() && to->node && this->connected.contains(at)) {
        this->Execute(at, to->node->OnMessage(send.message, this->now));
      }
    }
  }

  std::deque<SendAction> messages;
};

bool HasCommand(const RaftNode& aNode)
{
  return std::ranges::any_of(aNode.Log().EntriesFrom(aNode.Log().BaseIndex() + 1, SIZE_MAX),
                             [](const LogEntry& aEntry) { return aEntry.command == kCommand; });
}

} // namespace

// Guards against the loss of an acknowledged command that a restarted member confirmed although it
// had only read, not synced, what the process before had written.
TEST_CASE("A command is kept if a member that confirmed it after a kill loses power")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    GroupOnMemoryDisks group;
    REQUIRE(group.IsLeading(0));
    // Members 3 and 4 miss the command. Member 2 is killed between the write and the sync.
    group.connected = { 0, 1, 2 };
    Member& killed = group.members[2];
    killed.files.RestartProcess();
    killed.files.firstFailingOperation = 2;
    group.Propose(0);
    REQUIRE_FALSE(killed.node.has_value());
    REQUIRE_FALSE(group.isAcknowledged);
    killed.Start(group.now);
    group.now += std::chrono::milliseconds(60);
    group.Tick(0);
    REQUIRE(group.isAcknowledged);

    // Members 0 and 1 lose their disks, all others lose power.
    std::mt19937_64 random(seed);
    for (const std::size_t at : { 2, 3, 4 }) {
      group.members.at(at).Kill();
      group.members.at(at).files.Crash(random);
    }
    group.Restart({ 2, 3, 4 });
    CHECK(HasCommand(*killed.node));
    std::size_t leader = 2;
    while (leader < kMemberCount && !group.IsLeading(leader)) {
      group.Elect(leader);
      leader += group.IsLeading(leader) ? 0 : 1;
    }
    REQUIRE(leader < kMemberCount);
    CHECK(HasCommand(*group.members.at(leader).node));
  }
}
