#include "oleanderledge/control/internal/ControlDaemon.hpp"

#include "tests/control/HttpTestClient.hpp"

#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QJsonArray>
#include <QTemporaryDir>
#include <QTimer>

#include <array>
#include <filesystem>

using namespace oleanderledge;

namespace {

constexpr std::size_t kVoterCount = 5;
constexpr std::size_t kMemberCount = 6; ///< With one learner.

/// Address of a member on loopback, which it can take again after a restart: the port is below
/// those of outgoing connections.
std::string AddressOf(std::size_t aMember, int aPort)
{
  constexpr qint64 kFirstPort = 20'000;
  constexpr qint64 kPortCount = 10'000;
  const qint64 port = kFirstPort + (QCoreApplication::applicationPid() * 2 + aPort) % kPortCount;
  return "127.0.1." + std::to_string(aMember + 1) + ":" + std::to_string(port);
}

/// A control group of five voters and one learner on loopback, with data folders.
class GroupWithLearner : private WithApplication
{
public:
  GroupWithLearner()
  {
    for (std::size_t at = 0; at < kMemberCount; ++at) {
      ControlSettings& own = this->settings[at];
      own.instance = { "control-" + std::to_string(at + 1),
                       at + 1,
                       InstanceRole::Control,
                       "dalarna/mora-1",
                       AddressOf(at, 0),
                       AddressOf(at, 1),
                       false };
      own.dataFolder = (this->folders[at].path() + "/data").toStdString();
      own.voterGoal = kVoterCount;
      own.voterLostAfter = std::chrono::milliseconds(1500);
      own.leaveLimit = std::chrono::seconds(5);
    }
    for (std::size_t at = 0; at < kMemberCount; ++at) {
      ControlSettings& own = this->settings[at];
      own.mayFoundGroup = at < kVoterCount;
      for (std::size_t other = 0; other < kVoterCount; ++other) {
        const InstanceInfo& instance = this->settings[other].instance;
        own.initialMembers.push_back({ "", instance.id, instance.linkAddress, true });
        if (other != at) {
          own.peers.push_back(instance.linkAddress);
        }
      }
    }
    for (std::size_t at = 0; at < kVoterCount; ++at) {
      this->Start(at);
    }
    REQUIRE(WaitUntil([this] { return this->CountMembers(0) == kVoterCount; }));
    this->Start(kVoterCount);
    REQUIRE(WaitUntil([this] { return this->CountMembers(0) == kMemberCount; }));
    // The other members hear of the commit with the next heartbeats.
    bool haveHeard = false;
    QTimer::singleShot(1000, [&haveHeard] { haveHeard = true; });
    REQUIRE(WaitUntil([&haveHeard] { return haveHeard; }));
  }

  void Start(std::size_t aMember)
  {
    this->daemons[aMember] = std::make_unique<ControlDaemon>(this->settings[aMember], nullptr);
    REQUIRE(this->daemons[aMember]->Start());
  }

  void LoseDisk(std::size_t aMember)
  {
    this->daemons[aMember].reset();
    std::filesystem::remove_all(this->settings[aMember].dataFolder);
    this->settings[aMember].mayFoundGroup = false;
  }

  QJsonObject Status(std::size_t aMember)
  {
    return this->http.Request(this->settings[aMember].instance.httpAddress, "/v1/status").body;
  }

  std::size_t CountMembers(std::size_t aMember)
  {
    return static_cast<std::size_t>(this->Status(aMember)["members"].toArray().size());
  }

  /// Index of the leader according to a member, or kMemberCount.
  std::size_t LeaderAsSeenBy(std::size_t aMember)
  {
    const std::string leader = this->Status(aMember)["leader"].toString().toStdString();
    std::size_t found = 0;
    while (found < kMemberCount && this->settings[found].instance.id != leader) {
      ++found;
    }
    return found;
  }

  std::array<QTemporaryDir, kMemberCount> folders;
  std::array<ControlSettings, kMemberCount> settings;
  std::array<std::unique_ptr<ControlDaemon>, kMemberCount> daemons;
  HttpTestClient http;
};

} // namespace

// Guards against a group that never has a leader again after two of five disks were lost while a
// voter was being replaced as planned. The replacement began only after the voter had stopped, and
// in between the group had four voters.
TEST_CASE("Two disks can be lost once a voter has stopped as planned")
{
  GroupWithLearner group;
  REQUIRE(WaitUntil([&group] { return group.LeaderAsSeenBy(kVoterCount) < kVoterCount; }));
  const std::size_t leader = group.LeaderAsSeenBy(kVoterCount);
  const std::size_t leaving = (leader + 1) % kVoterCount;
  const std::size_t other = (leader + 2) % kVoterCount;
  bool isStopped = false;
  QObject::connect(group.daemons[leaving].get(),
                   &ControlDaemon::Stopped,
                   group.daemons[leaving].get(),
                   [&isStopped] { isStopped = true; });
  group.daemons[leaving]->BeginStop();
  REQUIRE(WaitUntil([&isStopped] { return isStopped; }));
  group.daemons[leaving].reset();
  for (const std::size_t lost : { leader, other }) {
    group.LoseDisk(lost);
  }
  for (const std::size_t lost : { leader, other }) {
    group.Start(lost);
  }
  CHECK(WaitUntil([&group] {
    constexpr int kOk = 200;
    const QByteArray change =
      R"({"action":"create","target_ms":50,"name":"a","request_id":"id-a","version":0})";
    return group.http
             .Request(group.settings[kVoterCount].instance.httpAddress, "/v1/classes", change)
             .status == kOk;
  }));
}
