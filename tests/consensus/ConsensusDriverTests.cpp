#include "oleanderledge/consensus/internal/ConsensusDriver.hpp"
#include "tests/storage/MemoryFileSystem.hpp"

#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTemporaryDir>

#include <atomic>
#include <filesystem>
#include <memory>
#include <semaphore>

using namespace oleanderledge;

namespace {

constexpr int kWaitTimeoutMs = 20'000;

/// A replicated state that concatenates the applied commands.
class CommandList : public ReplicatedState
{
public:
  void Apply(std::uint64_t /*aIndex*/, std::string_view aCommand) override
  {
    this->text += std::string(aCommand) + ";";
  }
  std::string Serialize() const override { return this->text; }
  Result<void> Restore(std::uint64_t /*aIndex*/, std::string_view aSnapshot) override
  {
    this->text = aSnapshot;
    return boost::outcome_v2::success();
  }

  std::string text;
};

class LeadershipRecord : public LeadershipListener
{
public:
  void OnLeadershipGained(std::uint64_t /*aTerm*/) override { this->isLeading = true; }
  void OnLeadershipLost() override { this->isLeading = false; }

  bool isLeading = false;
};

std::string FreeAddress()
{
  QTcpServer server;
  server.listen(QHostAddress::LocalHost, 0);
  return "127.0.0.1:" + std::to_string(server.serverPort());
}

/// One control instance: a data folder and, while it runs, a driver with its link server.
struct ControlInstance
{
  InstanceInfo info;
  QTemporaryDir folder;
  CommandList state;
  LeadershipRecord leadership;
  std::unique_ptr<PosixFileSystem> openFiles;
  std::unique_ptr<LinkServer> server;
  std::unique_ptr<ConsensusDriver> driver;

  void Start(const std::vector<InitialMember>& aInitial)
  {
    this->state = {};
    this->leadership = {};
    this->openFiles = std::make_unique<PosixFileSystem>();
    this->server = std::make_unique<LinkServer>(this->info, EmulatedLatency{}, nullptr);
    ConsensusDriverSettings settings;
    settings.dataFolder = this->folder.path().toStdString() + "/data";
    settings.initialMembers = aInitial;
    settings.maintenance.lostVoterTimeout = std::chrono::milliseconds(1500);
    settings.snapshots.afterEntries = 50;
    this->driver = std::make_unique<ConsensusDriver>(
      this->info, settings, *this->openFiles, this->state, this->leadership, nullptr);
    QObject::connect(
      this->server.get(), &LinkServer::Accepted, this->driver.get(), &ConsensusDriver::AddLink);
    REQUIRE(this->server->Listen(this->info.linkAddress));
    REQUIRE(this->driver->Start());
  }

  void Crash()
  {
    this->driver.reset();
    this->server.reset();
    this->openFiles.reset();
  }
};

/// Control instances of one group on loopback addresses.
class DriverGroup
{
public:
  explicit DriverGroup(std::size_t aCount)
    : instances(aCount)
  {
    for (std::size_t at = 0; at < aCount; ++at) {
      InstanceInfo& info = this->instances[at].info;
      info.id = "control-" + std::to_string(at);
      info.role = InstanceRole::Control;
      info.zone = "dalarna/mora-" + std::to_string(at);
      info.linkAddress = FreeAddress();
      this->initial.push_back({ info.id, info.linkAddress });
    }
  }

  void StartAll()
  {
    for (ControlInstance& instance : this->instances) {
      instance.Start(this->initial);
    }
  }

  template<class Condition>
  bool WaitFor(Condition aCondition)
  {
    QElapsedTimer timer;
    timer.start();
    while (!aCondition()) {
      if (timer.elapsed() > kWaitTimeoutMs) {
        return false;
      }
      QEventLoop loop;
      QTimer::singleShot(5, &loop, &QEventLoop::quit);
      loop.exec();
    }
    return true;
  }

  ControlInstance* Leader()
  {
    for (ControlInstance& instance : this->instances) {
      if (instance.driver && instance.driver->HasLeaderLease(MonotonicNow())) {
        return &instance;
      }
    }
    return nullptr;
  }

  bool WaitForLeader()
  {
    return this->WaitFor([this] { return this->Leader() != nullptr; });
  }

  /// Proposes a command and waits for its outcome. Returns true if it was committed.
  bool Commit(const std::string& aCommand)
  {
    std::optional<bool> outcome;
    ControlInstance* leader = this->Leader();
    REQUIRE(leader != nullptr);
    leader->driver->Propose(aCommand, [&outcome](const Result<std::uint64_t>& aResult) {
      outcome = aResult.has_value();
    });
    return this->WaitFor([&outcome] { return outcome.has_value(); }) && *outcome;
  }

  bool AllReachState(const std::string& aText)
  {
    return this->WaitFor([this, &aText] {
      return std::ranges::all_of(this->instances, [&aText](const ControlInstance& aInstance) {
        return !aInstance.driver || aInstance.state.text == aText;
      });
    });
  }

  std::vector<InitialMember> initial;
  std::deque<ControlInstance> instances;
};

/// Forwards connections to one address. Open ones can go silent for good, while new ones work.
class LinkRelay
{
public:
  explicit LinkRelay(const std::string& aTarget)
    : target(SplitAddress(aTarget))
  {
    this->server.listen(QHostAddress::LocalHost, 0);
    QObject::connect(
      &this->server, &QTcpServer::newConnection, &this->server, [this] { this->Accept(); });
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(this->server.serverPort()); }
  bool HasPassedReply() const { return this->hasPassedReply; }
  void SilenceOpenConnections() { ++this->generation; }

private:
  void Accept()
  {
    QTcpSocket* caller = this->server.nextPendingConnection();
    auto* called = new QTcpSocket(caller);
    const auto [host, port] = this->target;
    called->connectToHost(QHostAddress(QString::fromStdString(host)), port);
    this->Forward(caller, called);
    this->Forward(called, caller);
    QObject::connect(
      called, &QTcpSocket::readyRead, caller, [this] { this->hasPassedReply = true; });
  }

  void Forward(QTcpSocket* aFrom, QTcpSocket* aTo)
  {
    const auto isOpen = [this, opened = this->generation] { return this->generation == opened; };
    QObject::connect(aFrom, &QTcpSocket::readyRead, aTo, [aFrom, aTo, isOpen] {
      const QByteArray bytes = aFrom->readAll();
      if (isOpen()) {
        aTo->write(bytes);
      }
    });
    QObject::connect(aFrom, &QTcpSocket::disconnected, aTo, [aTo, isOpen] {
      if (isOpen()) {
        aTo->disconnectFromHost();
      }
    });
  }

  std::pair<std::string, std::uint16_t> target;
  QTcpServer server;
  int generation = 0;
  bool hasPassedReply = false;
};

void EnsureApplication()
{
  static int count = 1;
  static char name[] = "ol_test_consensus_driver";
  static char* arguments[] = { name, nullptr };
  static QCoreApplication application(count, arguments);
}

/// A running group of one driver whose disk can fail, with one committed command, "kept".
class DriverOnMemoryDisk
{
public:
  DriverOnMemoryDisk()
  {
    ControlInstance& instance = this->group.instances.front();
    ConsensusDriverSettings settings;
    settings.dataFolder = "data";
    settings.initialMembers = this->group.initial;
    instance.driver = std::make_unique<ConsensusDriver>(
      instance.info, settings, this->files, instance.state, instance.leadership, nullptr);
    QObject::connect(instance.driver.get(),
                     &ConsensusDriver::Failed,
                     instance.driver.get(),
                     [this](const Error& aError) { this->failure = aError.code; });
    REQUIRE(instance.driver->Start());
    REQUIRE(this->group.WaitForLeader());
    REQUIRE(this->group.Commit("kept"));
  }

  /// Proposes a command; `outcome` is set once it is known.
  void Propose(const std::string& aCommand)
  {
    this->group.instances.front().driver->Propose(
      aCommand, [this](const Result<std::uint64_t>& aResult) {
        this->outcome = aResult ? ResultCode::Ok : aResult.error().code;
      });
  }

  // The driver in `group` uses the others until its end.
  MemoryFileSystem files;
  std::optional<ResultCode> failure; ///< Reported by the driver when it stopped.
  std::optional<ResultCode> outcome; ///< Of the proposed command.
  DriverGroup group{ 1 };
};

} // namespace

// Guards against a group that cannot be founded over real links, or that loses committed commands
// when all instances restart.
TEST_CASE("Three drivers found a group and keep committed commands when all of them crash")
{
  EnsureApplication();
  DriverGroup group(3);
  group.StartAll();
  REQUIRE(group.WaitForLeader());
  std::string expected;
  for (int number = 0; number < 120; ++number) {
    const std::string command = std::to_string(number);
    REQUIRE(group.Commit(command));
    expected += command + ";";
  }
  REQUIRE(group.AllReachState(expected));
  for (ControlInstance& instance : group.instances) {
    instance.Crash();
  }
  group.StartAll();
  REQUIRE(group.WaitForLeader());
  CHECK(group.AllReachState(expected));
}

// Guards against an instance that lost its disk and then votes under its old identity or founds a
// second group, and against a group that stays one voter short afterwards.
TEST_CASE("An instance that lost its disk rejoins with a new identity and becomes a voter")
{
  EnsureApplication();
  DriverGroup group(3);
  group.StartAll();
  REQUIRE(group.WaitForLeader());
  REQUIRE(group.Commit("before"));
  // The instance with the lowest id is the one that could found a group.
  ControlInstance& lost = group.instances.front();
  const std::string oldMember = lost.driver->MemberId();
  lost.Crash();
  std::filesystem::remove_all(lost.folder.path().toStdString() + "/data");
  lost.Start(group.initial);
  REQUIRE(lost.driver->MemberId() != oldMember);
  REQUIRE(group.WaitFor([&group, &lost] {
    const ControlInstance* leader = group.Leader();
    if (leader == nullptr) {
      return false;
    }
    const auto members = leader->driver->Members();
    return members.size() == 3 && IsVoter(members, lost.driver->MemberId());
  }));
  REQUIRE(group.WaitForLeader());
  REQUIRE(group.Commit("after"));
  CHECK(group.AllReachState("before;after;"));
}

// Guards against a new instance that waits for its admission on dead connections, which leaves the
// group one voter short for good.
TEST_CASE("An instance whose links go silent before it is admitted joins over new ones")
{
  EnsureApplication();
  DriverGroup group(3);
  group.StartAll();
  REQUIRE(group.WaitForLeader());
  LinkRelay relay(group.Leader()->info.linkAddress);
  ControlInstance joining;
  joining.info = group.instances.front().info;
  joining.info.id = "control-3";
  joining.info.linkAddress = FreeAddress();
  joining.Start({ { "control-0", relay.Address() } });
  REQUIRE(group.WaitFor([&relay] { return relay.HasPassedReply(); }));
  relay.SilenceOpenConnections();
  CHECK(group.WaitFor([&group, &joining] {
    const ControlInstance* leader = group.Leader();
    return leader != nullptr &&
           FindMember(leader->driver->Members(), joining.driver->MemberId()) != nullptr;
  }));
}

// Guards against members that accept proposals although they cannot commit them: followers, and a
// leader that has lost its quorum.
TEST_CASE("A follower rejects proposals and a member without a quorum does not lead")
{
  EnsureApplication();
  DriverGroup group(3);
  group.StartAll();
  REQUIRE(group.WaitForLeader());
  for (ControlInstance& instance : group.instances) {
    if (&instance == group.Leader()) {
      continue;
    }
    ResultCode code = ResultCode::Ok;
    instance.driver->Propose("x", [&code](const Result<std::uint64_t>& aResult) {
      code = aResult ? ResultCode::Ok : aResult.error().code;
    });
    CHECK(code == ResultCode::NotLeader);
    CHECK(group.WaitFor([&group, &instance] {
      const ControlInstance* leader = group.Leader();
      return leader != nullptr && instance.driver->Leader().instance == leader->info.id;
    }));
  }
  group.instances[1].Crash();
  group.instances[2].Crash();
  REQUIRE(group.WaitFor([&group] { return group.Leader() == nullptr; }));
  // The lease expires before the member steps down.
  CHECK(group.WaitFor([&group] { return !group.instances[0].leadership.isLeading; }));
  CHECK_FALSE(group.instances[0].driver->HasCurrentLeader(MonotonicNow()));
}

// Guards against an instance that continues to lead, or to acknowledge commands, after its disk has
// failed.
TEST_CASE("A failed sync stops the driver, and the pending proposal has an unknown outcome")
{
  EnsureApplication();
  DriverOnMemoryDisk fixture;
  ControlInstance& instance = fixture.group.instances.front();
  fixture.files.failSyncs = true;
  fixture.Propose("lost");
  REQUIRE(fixture.group.WaitFor([&fixture] { return fixture.failure.has_value(); }));
  CHECK(*fixture.failure == ResultCode::StorageWriteFailed);
  CHECK(fixture.outcome == ResultCode::OutcomeUnknown);
  CHECK_FALSE(instance.driver->HasLeaderLease(MonotonicNow()));
  CHECK_FALSE(instance.leadership.isLeading);
  CHECK(instance.state.text == "kept;");
}

// Guards against a control instance that ends, or that acknowledges commands that it cannot store,
// while its disk is full.
TEST_CASE("A driver on a full disk confirms nothing and goes on once there is room")
{
  EnsureApplication();
  DriverOnMemoryDisk fixture;
  ControlInstance& instance = fixture.group.instances.front();
  fixture.files.freeBytes = 0;
  fixture.Propose("waiting");
  QElapsedTimer elapsed;
  elapsed.start();
  REQUIRE(fixture.group.WaitFor(
    [&fixture, &elapsed] { return fixture.outcome || elapsed.elapsed() > 1200; }));
  CHECK_FALSE(fixture.outcome.has_value());
  CHECK_FALSE(fixture.failure.has_value());
  CHECK(instance.state.text == "kept;");
  fixture.files.freeBytes = SIZE_MAX;
  REQUIRE(fixture.group.WaitFor([&fixture] { return fixture.outcome.has_value(); }));
  CHECK(*fixture.outcome == ResultCode::Ok);
  CHECK(instance.state.text == "kept;waiting;");
  CHECK_FALSE(fixture.failure.has_value());
}

// Guards against a control thread that handles no message or timer while a write is in progress.
TEST_CASE("A driver whose disk is slow handles events during the write")
{
  EnsureApplication();
  std::binary_semaphore isHandled{ 0 };
  std::atomic<bool> wasHandledDuringWrite{ false };
  DriverOnMemoryDisk fixture;
  fixture.files.beforeSync = [&isHandled, &wasHandledDuringWrite] {
    wasHandledDuringWrite = isHandled.try_acquire_for(std::chrono::seconds(2));
  };
  fixture.Propose("slow");
  QTimer::singleShot(50, [&isHandled] { isHandled.release(); });
  REQUIRE(fixture.group.WaitFor([&fixture] { return fixture.outcome.has_value(); }));
  CHECK(*fixture.outcome == ResultCode::Ok);
  CHECK(wasHandledDuringWrite);
  CHECK(fixture.group.instances.front().state.text == "kept;slow;");
}

// Guards against a control instance that ends because its disk is full when it founds the group.
TEST_CASE("A group is founded once a full disk has room")
{
  EnsureApplication();
  MemoryFileSystem files;
  // Creates the identity, which a driver cannot do on a full disk.
  REQUIRE(MemberStorage::Open(files, "data"));
  files.freeBytes = 0;
  DriverGroup group(1);
  ControlInstance& instance = group.instances.front();
  ConsensusDriverSettings settings;
  settings.dataFolder = "data";
  settings.initialMembers = group.initial;
  instance.driver = std::make_unique<ConsensusDriver>(
    instance.info, settings, files, instance.state, instance.leadership, nullptr);
  std::optional<ResultCode> failure;
  QObject::connect(instance.driver.get(),
                   &ConsensusDriver::Failed,
                   instance.driver.get(),
                   [&failure](const Error& aError) { failure = aError.code; });
  REQUIRE(instance.driver->Start());
  QElapsedTimer elapsed;
  elapsed.start();
  REQUIRE(group.WaitFor([&elapsed] { return elapsed.elapsed() > 300; }));
  CHECK_FALSE(failure.has_value());
  files.freeBytes = SIZE_MAX;
  REQUIRE(group.WaitForLeader());
  CHECK(group.Commit("founded"));
}
