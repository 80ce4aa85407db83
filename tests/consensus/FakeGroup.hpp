#pragma once

#include "oleanderledge/consensus/consensus.hpp"
#include "tests/storage/MemoryFileSystem.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oleanderledge {

/// Simulates a control group in one process, with a network, disks and clocks of its own.
///
/// After every event it checks the safety properties of the replicated log and records the first
/// violation. Times are in microseconds of simulated real time; the clock of each instance runs at
/// its own rate. All random choices derive from the seed.
class FakeGroup
{
public:
  static constexpr std::int64_t kMillisecond = 1000;

  /// Founds a group of voters on the instances 0 to `aVoters` - 1. The `aSpares` instances after
  /// them are not started.
  FakeGroup(std::uint64_t aSeed, std::size_t aVoters, std::size_t aSpares = 0);
  /// The same with given settings instead of small limits. Snapshots are then taken as
  /// ConsensusDriver does.
  FakeGroup(std::uint64_t aSeed,
            std::size_t aVoters,
            std::size_t aSpares,
            const RaftSettings& aSettings);

  /// Runs the simulation for a duration, or until a violation.
  void Run(std::int64_t aMicroseconds);
  /// Runs until a condition is true. Returns false after `aMicroseconds` or a violation.
  template<class Condition>
  bool RunUntil(std::int64_t aMicroseconds, Condition aCondition)
  {
    const std::int64_t end = this->now + aMicroseconds;
    while (!aCondition()) {
      if (this->now >= end || this->violation) {
        return false;
      }
      this->Run(10 * kMillisecond);
    }
    return true;
  }

  /// Stops an instance at a random file operation of its pending writes, by a kill or a loss of
  /// power.
  void Crash(std::size_t aInstance);
  /// Starts an instance that is not running. An empty disk gets a new member id.
  void Restart(std::size_t aInstance);
  /// Crashes an instance and empties its disk.
  void LoseDisk(std::size_t aInstance);
  /// Lets an instance ask to be replaced as a voter. It crashes once it does not vote any more.
  void Leave(std::size_t aInstance) { this->instances[aInstance].isLeaving = true; }
  void CancelLeave(std::size_t aInstance) { this->instances[aInstance].isLeaving = false; }
  /// Drops all messages between two instances until HealNetwork().
  void Cut(std::size_t aLeft, std::size_t aRight);
  /// Drops the messages from one instance to another until HealNetwork().
  void CutOneWay(std::size_t aFrom, std::size_t aTo) { this->cutLinks.insert({ aFrom, aTo }); }
  /// Drops all messages between an instance and all others until HealNetwork().
  void Isolate(std::size_t aInstance);
  void HealNetwork();
  /// Suspends an instance: it handles no event for a duration. Messages to it are delayed.
  void Freeze(std::size_t aInstance, std::int64_t aMicroseconds);
  /// Adds a delay to each message, for members in different regions.
  void SetExtraDelay(std::int64_t aMicroseconds) { this->extraDelay = aMicroseconds; }
  /// Makes each write of an instance take a random time in this range.
  void SetWriteTime(std::size_t aInstance, std::int64_t aShortest, std::int64_t aLongest)
  {
    this->instances[aInstance].writeTime = { aShortest, aLongest };
  }
  void ResetWriteTime(std::size_t aInstance) { this->instances[aInstance].writeTime.reset(); }
  /// Limits what each instance can send to each other one, as a connection with a small window does
  /// between regions. Messages wait in a queue, whose limit is that of MemberLinks.
  void SetBytesPerSecond(std::int64_t aBytes) { this->bytesPerSecond = aBytes; }
  /// Makes each snapshot that is taken from now on at least as large.
  void SetStateBytes(std::size_t aBytes) { this->stateBytes = aBytes; }
  /// Drops messages at random, `aLoss` in a thousand.
  void SetLossPerMille(unsigned aLoss) { this->lossPerMille = aLoss; }

  /// Sends over links as MemberLinks does: an instance opens links only to the members of its own
  /// list and, unless it is a member with a current leader, to its seeds. Join and leave requests
  /// also take these links. A restart then forgets what GroupMaintenance recorded.
  void UseLinks(std::size_t aTargetVoters);
  void SetSeeds(std::size_t aInstance, std::vector<std::size_t> aSeeds)
  {
    this->instances[aInstance].seeds = std::move(aSeeds);
  }
  /// All open links carry no more messages, without being closed. New links work.
  void SilenceLinks();
  /// Replaces the source of random choices, so that a copy of a group takes another course.
  void Reseed(std::uint64_t aSeed) { this->random.seed(aSeed); }

  /// Bytes of commands and snapshots that were sent to an instance.
  std::int64_t ContentBytesSentTo(std::size_t aInstance) const
  {
    return this->instances[aInstance].contentBytesSentTo;
  }

  /// Proposes commands at the current leader. Returns how many were proposed: 0 if there is no
  /// leader or it is suspended. Each command has at least `aBytes` bytes.
  std::size_t Propose(std::size_t aCount, std::size_t aBytes = 0);
  /// Takes a snapshot on an instance that is running.
  void Compact(std::size_t aInstance);

  /// The running leader with the highest term, if any.
  std::optional<std::size_t> Leader() const;
  /// The state machine of an instance; null if it is not running.
  RaftNode* Node(std::size_t aInstance);
  /// Index of the last committed entry.
  std::uint64_t LastCommitted() const { return this->committed.size(); }
  /// Number of proposals, including membership changes, that were reported as committed.
  std::size_t Acknowledged() const { return this->acknowledged; }
  std::uint64_t AppliedIndexOf(std::size_t aInstance) const;
  std::int64_t Now() const { return this->now; }
  bool IsRunning(std::size_t aInstance) const
  {
    return this->instances[aInstance].node.has_value();
  }
  /// True if an instance that is not suspended holds a leader lease.
  bool HasConfirmedLeader() const;
  /// Index of the newest member list of any running instance.
  std::uint64_t NewestMembersIndex() const;
  /// How many more disks may be lost, whichever they are, so that a majority of the voters still
  /// has its disk: in the committed list and in every newer list of a running instance. Negative if
  /// there is no such majority.
  int BearableDiskLosses() const;
  /// Member lists in the format of E1303: the committed one, then the one of each running instance.
  std::string DescribeMembers() const;
  /// What the clock of an instance shows.
  Instant ClockAt(std::size_t aInstance) const { return this->ClockOf(this->instances[aInstance]); }
  /// True if a majority of the voters still has its disk, in the committed list and in the latest
  /// list of every running instance.
  bool CanHaveQuorum() const;
  /// The latest committed list of members.
  const std::vector<ControlMember>& CommittedMembers() const { return this->committedMembers; }

  /// The first violation of a safety property, if any.
  const std::optional<std::string>& Violation() const { return this->violation; }

private:
  struct Disk
  {
    Disk() = default;
    /// Opens the copied files for a copy of the process. Between two events all writes are synced.
    Disk(const Disk& aOther);
    Disk(Disk&&) = default;
    Disk& operator=(Disk&&) = default;

    std::string memberId;
    std::unique_ptr<MemoryFileSystem> files = std::make_unique<MemoryFileSystem>();
    std::unique_ptr<MemberStorage> storage; ///< Null while the instance is not running.
    PersistentState state;                  ///< What the files contain.
  };
  struct Write
  {
    std::int64_t dueAt;
    PersistBatch batch;
  };
  struct Instance
  {
    Disk disk;
    std::optional<RaftNode> node;
    GroupMaintenance maintenance{ {} };
    double clockRate = 1.0;
    std::int64_t frozenUntil = 0;
    std::int64_t maintenanceAt = 0;
    std::deque<Write> writes;
    /// Shortest and longest time of a write; a mix of short and some longer ones if empty.
    std::optional<std::pair<std::int64_t, std::int64_t>> writeTime;
    std::uint64_t appliedIndex = 0;
    std::uint64_t appliedHash = 0;
    std::int64_t contentBytesSentTo = 0;
    bool isLeaving = false;
    SnapshotPolicy snapshotPolicy{ {} };
    std::vector<std::size_t> seeds;
    std::int64_t joinRequestedAt = 0;
  };
  /// A connection between two instances. Its ends may disagree whether it is open.
  struct Link
  {
    std::size_t opener;
    std::size_t target;
    std::int64_t openedAt;
    bool isReady = false;
    bool isSilent = false;
    /// By end: the opener, then the target.
    std::array<bool, 2> isOpen{ true, false };
    std::array<std::optional<std::int64_t>, 2> unansweredSince{};
    std::array<std::int64_t, 2> receivedAt{};
  };
  struct Delivery
  {
    std::int64_t dueAt;
    std::uint64_t order; ///< Order of sending, for deliveries that are due at the same time.
    std::size_t from;
    std::size_t to;
    Message message;
    std::uint64_t link = 0; ///< Only with UseLinks().
    bool operator>(const Delivery& aOther) const
    {
      return std::pair(this->dueAt, this->order) > std::pair(aOther.dueAt, aOther.order);
    }
  };

  Instant ClockOf(const Instance& aInstance) const;
  /// The simulated real time at which the clock of an instance passes `aLocal`, but not before now
  /// or the end of its suspension.
  std::int64_t RealTimeOf(const Instance& aInstance, Instant aLocal) const;
  std::int64_t NextEventAt() const;
  void HandleDueEvents();
  void DeliverMessages();
  void CompleteWrites(std::size_t aInstance);
  /// Opens the data folder of an instance. The first attempts may end at a random file operation.
  void OpenDisk(std::size_t aInstance);
  /// Ends the process that uses a disk, by a kill or a loss of power.
  void EndProcess(Disk& aDisk);
  void RunMaintenance(std::size_t aInstance);
  /// When a peer, given by its instance id, was last heard on a link.
  std::optional<Instant> HeardAt(std::size_t aInstance, std::string_view aPeer) const;
  void ContinueLeave(std::size_t aInstance);
  void ExecuteActions(std::size_t aInstance, RaftActions aActions);
  void SendOverNetwork(std::size_t aInstance, SendAction aSend);
  /// The time that a message takes because of SetBytesPerSecond(), the queue before it included.
  /// Empty if the queue is full.
  std::optional<std::int64_t> QueueingTime(std::size_t aFrom,
                                           std::size_t aTo,
                                           const Message& aMessage);
  void CompactIfDue(std::size_t aInstance);
  void CheckSend(std::size_t aInstance, const Message& aMessage);
  void Apply(std::size_t aInstance, const LogEntry& aEntry);
  void Restore(std::size_t aInstance, const RaftSnapshot& aSnapshot);
  void CheckLeaders();
  void CheckLeaderLog(std::size_t aInstance);
  void RecordViolation(const std::string& aWhat);
  bool IsFrozen(const Instance& aInstance) const { return aInstance.frozenUntil > this->now; }
  std::int64_t RandomBetween(std::int64_t aLow, std::int64_t aHigh);
  std::int64_t NextWriteDueAt(const Instance& aInstance);
  std::int64_t DrawWriteTime(const Instance& aInstance);
  bool HasLiveMajority(const std::vector<ControlMember>& aMembers) const;
  ControlMember MemberOf(std::size_t aInstance) const;
  int BearableDiskLosses(const std::vector<ControlMember>& aMembers) const;
  std::size_t InstanceOfMember(const std::string& aMember) const;
  std::set<std::size_t> KnownInstances(std::size_t aInstance) const;
  void RefreshLinks(std::size_t aInstance);
  void CloseSilentLinks(std::size_t aInstance);
  void ExpectReply(std::uint64_t aLink, std::size_t aInstance);
  void CloseLinkAt(Link& aLink, std::size_t aInstance);
  /// Completes the opening of a link if both instances run and reach each other.
  void ConnectLink(Link& aLink);
  void DropLinksOf(std::size_t aInstance);
  /// The ready link of an instance on which it heard another one last; 0 if there is none.
  std::uint64_t FindLink(std::size_t aFrom, std::size_t aTo) const;
  /// True if a message that is sent over the link arrives.
  bool Carries(std::uint64_t aLink, std::size_t aFrom, std::size_t aTo);
  void SendJoinRequestOverLinks(std::size_t aInstance);

  RaftSettings settings;
  bool takesSnapshots = false;
  std::size_t stateBytes = 0;
  std::int64_t bytesPerSecond = 0; ///< 0: unlimited.
  /// Until when the messages that an instance has sent to another one are on their way.
  std::map<std::pair<std::size_t, std::size_t>, std::int64_t> sendingUntil;
  GroupMaintenanceSettings maintenanceSettings;
  std::mt19937_64 random;
  std::int64_t now = 1'000'000;
  std::uint64_t nextOrder = 0;
  std::uint64_t nextProposal = 0;
  std::uint64_t nextIdentity = 0;
  unsigned lossPerMille = 0;
  std::int64_t extraDelay = 0;
  std::size_t acknowledged = 0;
  std::vector<Instance> instances;
  std::map<std::string, std::size_t> instanceOfMember;
  std::set<std::pair<std::size_t, std::size_t>> cutLinks;
  bool usesLinks = false;
  std::uint64_t nextLink = 1;
  std::map<std::uint64_t, Link> links;
  std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> network;

  std::map<std::uint64_t, std::string> leaderOfTerm;
  std::vector<LogEntry> committed;
  /// Term of the member that applied each entry first, which is at least the term that committed
  /// it.
  std::vector<std::uint64_t> committedInTerm;
  /// By index: hash of all committed entries up to it.
  std::vector<std::uint64_t> hashes{ 0 };
  std::uint64_t committedMembersIndex = 0;
  std::vector<ControlMember> committedMembers;
  std::optional<std::string> violation;
};

} // namespace oleanderledge
