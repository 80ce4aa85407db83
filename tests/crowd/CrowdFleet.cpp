#include "tests/crowd/CrowdFleet.hpp"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QJsonArray>
#include <QNetworkReply>
#include <QNetworkRequest>

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace oleanderledge::test {

namespace {

constexpr int kHttpOk = 200;
constexpr int kRegistrationIntervalMs = 300;
/// Longest time that a crowd plays. A crowd that the server does not read from any more never
/// finishes.
constexpr qint64 kPlayLimitMs = 12'000;
/// Time after the last byte of a crowd in which the processes handle what they have received.
constexpr qint64 kSettleMs = 2'000;
/// Time in which an ordinary request must be answered after a crowd, with repeated attempts. It is
/// far above the time limits in the settings of the tests.
constexpr qint64 kAnswerLimitMs = 30'000;
/// Time for one attempt.
constexpr qint64 kAttemptLimitMs = 5'000;

// Ports that no outgoing connection gets, so that nobody takes them before a process opens them.
constexpr const char* kLinkPort = ":24001";
constexpr const char* kHttpPort = ":24002";
constexpr const char* kControlPlanePort = ":24003";
constexpr const char* kPromotionPort = ":24004";
constexpr const char* kCallersPort = ":24005";
constexpr const char* kReadinessPort = ":24006";

/// A loopback address of this test program alone.
std::string OwnIp(std::size_t aNumber)
{
  constexpr unsigned kGroup = 64;
  const auto id = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(kGroup * (aNumber + 1) + id / 65536 % kGroup) + "." +
         std::to_string(id / 256 % 256) + "." + std::to_string(id % 256);
}

const char* Program()
{
  const char* given = std::getenv("OL_CROWD_PROGRAM");
  return given == nullptr ? OL_PROGRAM : given;
}

bool HasLimits()
{
  return std::getenv("OL_CROWD_WITHOUT_LIMITS") == nullptr;
}

std::string ProcFolder(const soak::ChildProcess& aChild)
{
  return "/proc/" + std::to_string(aChild.Id());
}

/// Peak of the resident memory; 0 if the process has ended.
std::size_t PeakMemoryBytes(const soak::ChildProcess& aChild)
{
  std::ifstream file(ProcFolder(aChild) + "/status");
  std::string word;
  while (file >> word) {
    if (word == "VmHWM:") {
      std::size_t kibibytes = 0;
      file >> kibibytes;
      return kibibytes * 1024;
    }
  }
  return 0;
}

std::size_t DescriptorCount(const soak::ChildProcess& aChild)
{
  std::error_code error;
  const std::filesystem::directory_iterator each(ProcFolder(aChild) + "/fd", error);
  return error ? 0 : static_cast<std::size_t>(std::distance(each, {}));
}

} // namespace

CrowdFleet::CrowdFleet(const CrowdFleetOptions& aOptions)
  : database(group, "i-only")
  , options(aOptions)
  , databaseAddress(database.Listen())
{
  this->group.service = "ledger";
  this->group.primary = "i-only";
  this->group.items["a"] = "first";
  this->processes.resize(1 + this->options.proxies);
  const std::string fleet = "fleet:\n  seeds: ['" + OwnIp(0) + kControlPlanePort +
                            "']\n  zones: [{name: near, region: east}]\n  stop_limit_ms: 1000\n";
  for (std::size_t index = 0; index < this->processes.size(); ++index) {
    Process& process = this->processes[index];
    process.ip = OwnIp(index);
    if (index == 0) {
      process.name = "control";
      process.memoryBound = kControlMemoryBytes;
      process.descriptorBound = kControlDescriptors;
      this->Start(process,
                  "control",
                  this->CommonSettings(process.ip, process.ip) + fleet +
                    "  node_name: control\n  control_plane: '" + this->ControlPlaneAddress() +
                    "'\n  promotion: '" + process.ip + kPromotionPort +
                    "'\n  registration_interval_ms: 300\n  tolerated_losses: 0\n"
                    "  may_found_group: true\ndata_folder: '" +
                    this->PathOf("data") + "'\n" +
                    (HasLimits() ? this->options.controlLimits : ""));
      continue;
    }
    process.name = "proxy-" + std::to_string(index);
    process.memoryBound = kProxyMemoryBytes;
    process.descriptorBound = static_cast<std::size_t>(this->options.maxCallers) + kBaseDescriptors;
    this->Start(process,
                "proxy",
                this->CommonSettings(process.name, process.ip) + "  callers: '" + process.ip +
                  kCallersPort + "'\n" + fleet + "  node_name: " + process.name +
                  "\n  readiness: '" + process.ip + kReadinessPort +
                  "'\n  backend_drain_ms: 500\nlimits:\n  max_callers: " +
                  std::to_string(this->options.maxCallers) + "\n" +
                  (HasLimits() ? this->options.proxyLimits : ""));
  }
  QObject::connect(
    &this->registrationTimer, &QTimer::timeout, &this->database, [this] { this->Register(); });
  this->registrationTimer.start(kRegistrationIntervalMs);
  const std::string configuration =
    R"({"version":1,"routes":[{"name":"r","host":"orders","path_prefix":"/",)"
    R"("route_kind":"primary","timeout_ms":8000,"target_latency_ms":8000,"priority":0,)"
    R"("service":"ledger"}],"services":[{"name":"ledger","connection_limit":)" +
    std::to_string(this->options.connectionLimit) + R"(}],"limits":{"transaction_idle_ms":)" +
    std::to_string(this->options.transactionIdleMs) + "}}";
  REQUIRE(WaitUntil([this, &configuration] {
    return this->client.Put(this->ControlPlaneAddress(),
                            "/api/configuration",
                            QByteArray::fromStdString(configuration)) == kHttpOk;
  }));
  for (std::size_t proxy = 0; proxy < this->options.proxies; ++proxy) {
    REQUIRE(WaitUntil([this, proxy] {
      return this->Ask(proxy, { "QUERY warm-up READ a" }).starts_with("DATAROW first");
    }));
  }
}

CrowdFleet::~CrowdFleet()
{
  this->registrationTimer.stop();
  for (const Process& process : this->processes) {
    process.child->Signal(SIGTERM);
  }
  // The destructor of a child kills it if it has not ended by then.
  WaitUntil([this] {
    return std::ranges::all_of(this->processes,
                               [](const Process& aEach) { return aEach.child->HasEnded(); });
  });
}

std::string CrowdFleet::PathOf(const std::string& aName) const
{
  return this->folder.filePath(QString::fromStdString(aName)).toStdString();
}

std::string CrowdFleet::CommonSettings(const std::string& aInstance, const std::string& aIp) const
{
  return "instance: '" + aInstance + "'\nzone: east/near\nlisten:\n  link: '" + aIp + kLinkPort +
         "'\n  http: '" + aIp + kHttpPort + "'\n";
}

void CrowdFleet::Start(Process& aProcess, const std::string& aKind, const std::string& aSettings)
{
  const std::string path = this->PathOf(aProcess.name + ".yaml");
  std::ofstream(path) << aSettings;
  aProcess.child =
    std::make_unique<soak::ChildProcess>(Program(),
                                         std::vector<std::string>{ aKind, "--settings=" + path },
                                         this->PathOf(aProcess.name + ".log"));
}

std::string CrowdFleet::CallersAddress(std::size_t aProxy) const
{
  return OwnIp(aProxy + 1) + kCallersPort;
}

std::string CrowdFleet::ReadinessAddress(std::size_t aProxy) const
{
  return OwnIp(aProxy + 1) + kReadinessPort;
}

std::string CrowdFleet::ProxyHttpAddress(std::size_t aProxy) const
{
  return OwnIp(aProxy + 1) + kHttpPort;
}

std::string CrowdFleet::ProxyLinkAddress(std::size_t aProxy) const
{
  return OwnIp(aProxy + 1) + kLinkPort;
}

std::string CrowdFleet::ControlPlaneAddress() const
{
  return OwnIp(0) + kControlPlanePort;
}

std::string CrowdFleet::ControlHttpAddress() const
{
  return OwnIp(0) + kHttpPort;
}

std::string CrowdFleet::ControlLinkAddress() const
{
  return OwnIp(0) + kLinkPort;
}

void CrowdFleet::Register()
{
  const QByteArray body =
    R"({"service":"ledger","address":")" + QByteArray::fromStdString(this->databaseAddress) +
    R"(","zone":"near","version":"v1","capacity":2,"state":"ready","warmup_remaining_ms":0,)"
    R"("database_role":"primary","born":1,)"
    R"("sequence":)" +
    QByteArray::number(++this->sequence) + "}";
  QNetworkRequest request(QUrl(
    QString::fromStdString("http://" + this->ControlPlaneAddress() + "/api/instances/i-only")));
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  request.setTransferTimeout(1000);
  QNetworkReply* reply = this->network.put(request, body);
  QObject::connect(reply, &QNetworkReply::finished, reply, &QObject::deleteLater);
}

void CrowdFleet::RunOnce(const std::vector<Crowd*>& aCrowds)
{
  for (Crowd* crowd : aCrowds) {
    crowd->Turn();
  }
  QCoreApplication::processEvents(QEventLoop::AllEvents, 2);
  this->SampleDescriptors();
}

void CrowdFleet::SampleDescriptors()
{
  for (Process& process : this->processes) {
    process.mostDescriptors = std::max(process.mostDescriptors, DescriptorCount(*process.child));
  }
}

void CrowdFleet::Play(const std::vector<Crowd*>& aCrowds)
{
  QElapsedTimer total;
  total.start();
  QElapsedTimer settled;
  while (total.elapsed() < kPlayLimitMs) {
    this->RunOnce(aCrowds);
    const bool hasFinished =
      std::ranges::all_of(aCrowds, [](const Crowd* aEach) { return aEach->HasFinished(); });
    if (hasFinished && !settled.isValid()) {
      settled.start();
    }
    if (settled.isValid() && settled.elapsed() > kSettleMs) {
      return;
    }
  }
}

std::string CrowdFleet::Ask(std::size_t aProxy,
                            const std::vector<std::string>& aLines,
                            const std::vector<Crowd*>& aCrowds)
{
  const int descriptor = ConnectTo(this->CallersAddress(aProxy));
  if (descriptor < 0) {
    return {};
  }
  std::vector<std::string> lines{ "STARTUP orders tester" };
  lines.insert(lines.end(), aLines.begin(), aLines.end());
  std::string answer;
  for (const std::string& line : lines) {
    const std::string message = line + "\r\n";
    std::size_t sent = 0;
    answer.clear();
    bool isOpen = true;
    QElapsedTimer elapsed;
    elapsed.start();
    const auto isWhole = [&answer] {
      const std::size_t ready = answer.rfind("READY ");
      return ready != std::string::npos && answer.ends_with("\r\n") &&
             (ready == 0 || answer[ready - 1] == '\n');
    };
    while (isOpen && !isWhole() && elapsed.elapsed() < kAttemptLimitMs) {
      this->RunOnce(aCrowds);
      if (sent < message.size()) {
        const ssize_t count =
          ::send(descriptor, message.data() + sent, message.size() - sent, MSG_NOSIGNAL);
        sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        isOpen = count >= 0 || errno == EAGAIN || errno == ENOTCONN;
      }
      std::array<char, 65536> received{};
      const ssize_t count = ::recv(descriptor, received.data(), received.size(), 0);
      if (count > 0) {
        answer.append(received.data(), static_cast<std::size_t>(count));
      }
      isOpen = isOpen && (count > 0 || (count < 0 && (errno == EAGAIN || errno == ENOTCONN)));
    }
    if (!isWhole()) {
      ::close(descriptor);
      return {};
    }
  }
  ::close(descriptor);
  return answer;
}

void CrowdFleet::Check(const std::vector<Crowd*>& aCrowds)
{
  for (std::size_t proxy = 0; proxy < this->options.proxies; ++proxy) {
    QElapsedTimer elapsed;
    elapsed.start();
    std::string answer;
    while (!answer.starts_with("DATAROW first") && elapsed.elapsed() < kAnswerLimitMs) {
      answer = this->Ask(proxy, { "QUERY ordinary READ a" }, aCrowds);
    }
    INFO("proxy " << proxy + 1);
    CHECK(answer.starts_with("DATAROW first"));
  }
  this->SampleDescriptors();
  for (const Process& process : this->processes) {
    const std::size_t memory = PeakMemoryBytes(*process.child);
    WARN(process.name << ": peak memory " << memory / 1'000'000 << " MB, most descriptors "
                      << process.mostDescriptors);
    CHECK_FALSE(process.child->HasEnded());
    CHECK(memory <= process.memoryBound);
    CHECK(process.mostDescriptors <= process.descriptorBound);
  }
}

} // namespace oleanderledge::test
