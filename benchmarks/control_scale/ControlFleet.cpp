#include "benchmarks/control_scale/ControlFleet.hpp"

#include <ctime>
#include <fstream>
#include <unistd.h>

namespace oleanderledge::benchmark {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(20);
constexpr std::uint64_t kStepsPerHeartbeat = 10;
constexpr std::uint64_t kMeasuredSteps = 150;
constexpr std::uint64_t kMaxWarmUpSteps = 600;
constexpr std::size_t kZones = 18;
constexpr std::size_t kRegions = 5;

std::string ZoneOf(std::size_t aNumber)
{
  const std::size_t zone = aNumber % kZones;
  return "region-" + std::to_string(zone % kRegions) + "/zone-" + std::to_string(zone);
}

double ProcessCpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

double ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

ControlFleet::ControlFleet(std::size_t aProxies, std::size_t aDatabases)
  : leader(state, ControlTimings{})
  , owned(aProxies)
{
  this->figures.proxies = aProxies;
  this->figures.databases = aDatabases;
  for (std::size_t number = 0; number < aProxies; ++number) {
    const std::string id = "proxy-" + std::to_string(number);
    // Each instance needs its own address, because a second process at an address counts as a
    // restart of the first.
    const std::string host =
      "10.0." + std::to_string(number / 250) + "." + std::to_string(1 + number % 250);
    this->proxies.push_back(
      { id, 1, InstanceRole::Proxy, ZoneOf(number), host + ":7101", host + ":7201", false });
  }
  for (std::size_t number = 0; number < aDatabases; ++number) {
    for (std::size_t slot = 0; slot < 3; ++slot) {
      Announcement announcement;
      announcement.service = "service-" + std::to_string(number / 3);
      announcement.database = "database-" + std::to_string(number);
      announcement.slot = std::string(1, static_cast<char>('a' + slot));
      announcement.zone = ZoneOf(number + slot);
      announcement.address = "10.1.0.1:5432";
      announcement.isPrimary = slot == 0;
      announcement.term = 1;
      announcement.received = 1;
      announcement.applied = 1;
      announcement.connectionLimit = 25;
      announcement.incarnation = 1;
      this->announcements.push_back(std::move(announcement));
    }
  }
}

void ControlFleet::ApplyActions(const ControlActions& aActions)
{
  for (const ControlAction& action : aActions) {
    ControlActions more;
    if (const auto* proposal = std::get_if<ProposeAction>(&action)) {
      this->state.Apply(++this->index, EncodeCommand(proposal->command));
      this->leader.OnProposalDone(proposal->key, true, this->now, more);
    } else if (const auto* query = std::get_if<QueryStatusAction>(&action)) {
      this->leader.OnBackendAnswer(query->database,
                                   query->slot,
                                   PlatformStatus{ query->slot == "a", 1, 1, 1 },
                                   this->now,
                                   more);
    }
    this->ApplyActions(more);
  }
}

void ControlFleet::Announce()
{
  ++this->sequence;
  for (Announcement& announcement : this->announcements) {
    announcement.sequence = this->sequence;
    ControlActions actions;
    const double before = ProcessCpuSeconds();
    this->leader.OnAnnouncement(announcement, this->now, actions);
    if (this->measuresAnnouncements) {
      this->announcementCpuSeconds += ProcessCpuSeconds() - before;
      ++this->announcementCount;
    }
    this->ApplyActions(actions);
  }
}

void ControlFleet::SendHeartbeats(bool aMeasured)
{
  for (auto& databases : this->owned) {
    databases.clear();
  }
  std::map<std::string, std::size_t> numbers;
  for (std::size_t number = 0; number < this->proxies.size(); ++number) {
    numbers[this->proxies[number].id] = number;
  }
  for (const auto& [name, record] : this->state.Databases().Records()) {
    const auto owner = numbers.find(record.row.owner);
    if (owner != numbers.end()) {
      this->owned[owner->second].push_back(name);
    }
  }
  for (std::size_t number = 0; number < this->proxies.size(); ++number) {
    Heartbeat heartbeat;
    heartbeat.instance = this->proxies[number];
    heartbeat.sequence = this->sequence;
    heartbeat.sentUs = ToMicroseconds(this->now);
    heartbeat.directoryVersion = this->state.DirectoryVersion();
    heartbeat.service = { { "bookings", 1'000'000, 990'000, 10 },
                          { "lookups", 1'000'000, 990'000, 10 },
                          { "reprints", 1'000'000, 990'000, 10 } };
    for (const std::string& name : this->owned[number]) {
      const DatabaseRow& row = this->state.Databases().Find(name)->row;
      OwnerReport report;
      report.database = name;
      report.epoch = row.ownerEpoch;
      report.term = row.term;
      for (const SlotRow& slot : row.slots) {
        report.slots.push_back({ slot.name, true, slot.name == row.primary, row.term, 1, 1, 5 });
      }
      heartbeat.owned.push_back(std::move(report));
    }
    const std::string frame = EncodeFrame(heartbeat);
    ControlActions actions;
    const double before = ProcessCpuSeconds();
    const auto decoded = DecodeFrameBody(std::string_view(frame).substr(4));
    const HeartbeatReply reply =
      this->leader.OnHeartbeat(std::get<Heartbeat>(decoded.value()), true, this->now, actions);
    const std::string answer = EncodeFrame(reply);
    if (aMeasured) {
      this->heartbeatCpuSeconds += ProcessCpuSeconds() - before;
      this->figures.heartbeatBytes += static_cast<double>(frame.size());
      this->figures.replyBytes += static_cast<double>(answer.size());
      ++this->heartbeatCount;
    }
    this->ApplyActions(actions);
  }
}

void ControlFleet::Tick(bool aMeasured)
{
  ControlActions actions;
  const double before = ProcessCpuSeconds();
  this->leader.OnTick(this->now, actions);
  if (aMeasured) {
    this->tickCpuSeconds += ProcessCpuSeconds() - before;
    ++this->tickCount;
  }
  this->ApplyActions(actions);
}

void ControlFleet::RunStep(bool aMeasured)
{
  this->now += kStep;
  if (this->steps++ % kStepsPerHeartbeat == 0) {
    this->measuresAnnouncements = aMeasured;
    this->Announce();
    this->SendHeartbeats(aMeasured);
  }
  this->Tick(aMeasured);
}

std::size_t ControlFleet::CountOwned() const
{
  std::size_t count = 0;
  for (const auto& [name, record] : this->state.Databases().Records()) {
    count += record.row.owner.empty() ? 0 : 1;
  }
  return count;
}

void ControlFleet::MeasureChange()
{
  const std::uint64_t before = this->state.DirectoryVersion();
  ChangeClass change;
  change.action = ClassAction::Create;
  change.name = "bookings";
  change.targetMs = 50;
  change.baseVersion = this->state.Classes().Version();
  change.requestId = "benchmark";
  this->state.Apply(++this->index, EncodeCommand(change));
  const double started = ProcessCpuSeconds();
  const std::string frame = EncodeFrame(this->state.ChangesSince(before));
  this->figures.changeEncodeCpuUs = (ProcessCpuSeconds() - started) * 1e6;
  this->figures.changeBytes = static_cast<double>(frame.size());
}

ScaleFigures ControlFleet::Measure()
{
  const double residentBefore = ResidentBytes();
  ControlActions actions;
  this->leader.OnLeadershipGained(this->now, actions);
  this->ApplyActions(actions);
  while (this->CountOwned() < this->figures.databases && this->steps < kMaxWarmUpSteps) {
    this->RunStep(false);
  }
  for (std::uint64_t step = 0; step < kMeasuredSteps; ++step) {
    this->RunStep(true);
  }
  this->figures.heartbeatCpuUs =
    this->heartbeatCpuSeconds * 1e6 / static_cast<double>(this->heartbeatCount);
  this->figures.announcementCpuUs =
    this->announcementCpuSeconds * 1e6 / static_cast<double>(this->announcementCount);
  this->figures.tickCpuUs = this->tickCpuSeconds * 1e6 / static_cast<double>(this->tickCount);
  this->figures.heartbeatBytes /= static_cast<double>(this->heartbeatCount);
  this->figures.replyBytes /= static_cast<double>(this->heartbeatCount);
  this->figures.directoryBytes =
    static_cast<double>(EncodeFrame(this->state.ChangesSince(0)).size());
  this->figures.snapshotBytes = static_cast<double>(this->state.Serialize().size());
  this->figures.residentBytes = ResidentBytes() - residentBefore;
  this->MeasureChange();
  return this->figures;
}

} // namespace oleanderledge::benchmark
