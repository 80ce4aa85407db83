#include "tests/crowd/PortFleet.hpp"

#include <QElapsedTimer>
#include <QNetworkReply>
#include <QTcpSocket>

#include <catch2/catch.hpp>

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace oleanderledge::test {

namespace {

/// Memory of the smallest proxy and of a control instance, in bytes.
constexpr std::int64_t kProxyMemory = 112'000'000;
constexpr std::int64_t kControlMemory = 256'000'000;
/// Connections that the settings of the fleet allow at one port, except that for callers.
constexpr int kConnectionsPerPort = 64;
/// Two HTTP ports and a link port in each process, and 64 descriptors for everything else: files,
/// pipes, listening sockets, and connections to other processes.
constexpr int kMostDescriptors = 3 * kConnectionsPerPort + 64;
constexpr int kHttpOk = 200;
constexpr int kStatementTimeoutMs = 3'000;
/// The default of the setting `registration_interval_ms`.
constexpr int kRegistrationIntervalMs = 1'200;

/// A loopback address of this test program alone, so that nobody takes its ports.
std::string OwnIp(unsigned aFirst)
{
  const auto id = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(aFirst + id / 65536 % 32) + "." + std::to_string(id / 256 % 256) +
         "." + std::to_string(id % 256);
}

/// An address with a port that no outgoing connection gets.
std::string Address(unsigned aFirst, int aNumber)
{
  constexpr int kFirstPort = 24100;
  return OwnIp(aFirst) + ":" + std::to_string(kFirstPort + aNumber);
}

constexpr unsigned kControl = 144;
constexpr unsigned kProxy = 176;

std::int64_t MostResidentBytes(pid_t aProcess)
{
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) {
      constexpr std::int64_t kBytesPerUnit = 1024;
      return std::atoll(line.c_str() + sizeof("VmHWM:") - 1) * kBytesPerUnit;
    }
  }
  return -1;
}

std::ptrdiff_t OpenDescriptors(pid_t aProcess)
{
  std::error_code error;
  const std::filesystem::directory_iterator folder("/proc/" + std::to_string(aProcess) + "/fd",
                                                   error);
  return error ? -1 : std::distance(begin(folder), end(folder));
}

/// The program to test; another one can be given, to see whether it fails.
std::string Program()
{
  const char* other = std::getenv("OL_CROWD_PROGRAM");
  return other == nullptr ? OL_PROGRAM : other;
}

std::string LimitSettings()
{
  if (std::getenv("OL_CROWD_WITHOUT_LIMITS") != nullptr) {
    return {};
  }
  const std::string connections = std::to_string(kConnectionsPerPort);
  return "limits:\n  http_connections: " + connections + "\n  link_connections: " + connections +
         "\n  http_request_ms: 2000\n  http_idle_ms: 2000\n";
}

} // namespace

PortFleet::PortFleet()
  : controlLink(Address(kControl, 1))
  , controlHttp(Address(kControl, 2))
  , controlPlane(Address(kControl, 3))
  , proxyLink(Address(kProxy, 1))
  , proxyHttp(Address(kProxy, 2))
  , callers(Address(kProxy, 5))
  , readiness(Address(kProxy, 6))
  , database(group, "i-only")
  , databaseAddress(database.Listen())
{
  this->group.service = "ledger";
  this->group.primary = "i-only";
  this->group.items["a"] = "first";
  this->WriteSettings();
  this->Start("control", kControlMemory);
  this->Start("proxy", kProxyMemory);
  REQUIRE(WaitUntil([this] { return this->PutConfiguration(Configuration(1)) == kHttpOk; }));
  REQUIRE(WaitUntil([this] { return this->Register() == kHttpOk; }));
  REQUIRE(WaitUntil([this] { return this->IsReadServed(); }));
  QObject::connect(&this->registrationTimer, &QTimer::timeout, [this] {
    QNetworkReply* reply = this->SendRegistration();
    QObject::connect(reply, &QNetworkReply::finished, reply, &QObject::deleteLater);
  });
  this->registrationTimer.start(kRegistrationIntervalMs);
}

void PortFleet::WriteSettings() const
{
  const std::string fleet = "fleet:\n  seeds: ['" + this->controlPlane +
                            "']\n  zones: [{name: near-zone, region: east}]\n  stop_limit_ms: "
                            "1000\n";
  std::ofstream(this->PathOf("control.yaml"))
    << "instance: '" << OwnIp(kControl) << "'\nzone: east/near-zone\ndata_folder: '"
    << this->PathOf("data") << "'\nlisten:\n  link: '" << this->controlLink << "'\n  http: '"
    << this->controlHttp << "'\n"
    << LimitSettings() << fleet << "  node_name: control-1\n  control_plane: '"
    << this->controlPlane << "'\n  promotion: '" << Address(kControl, 4)
    << "'\n  tolerated_losses: 0\n  may_found_group: true\n";
  std::ofstream(this->PathOf("proxy.yaml"))
    << "instance: proxy-1\nzone: east/near-zone\nlisten:\n  link: '" << this->proxyLink
    << "'\n  http: '" << this->proxyHttp << "'\n  callers: '" << this->callers << "'\n"
    << LimitSettings() << fleet << "  node_name: proxy-1\n  readiness: '" << this->readiness
    << "'\n";
}

void PortFleet::Start(const std::string& aKind, std::int64_t aMemoryBound)
{
  this->processes.push_back(
    { aKind,
      std::make_unique<soak::ChildProcess>(
        Program(),
        std::vector<std::string>{ aKind, "--settings=" + this->PathOf(aKind + ".yaml") },
        this->PathOf(aKind + ".log")),
      aMemoryBound });
}

std::string PortFleet::PathOf(const std::string& aName) const
{
  return this->folder.filePath(QString::fromStdString(aName)).toStdString();
}

std::string PortFleet::Configuration(std::uint64_t aNumber, const std::string& aMoreRoutes)
{
  return R"({"version":)" + std::to_string(aNumber) +
         R"(,"routes":[{"name":"r","host":"orders","path_prefix":"/","route_kind":"primary",)"
         R"("timeout_ms":800,"target_latency_ms":400,"priority":0,"service":"ledger"})" +
         aMoreRoutes + R"(],"services":[{"name":"ledger","connection_limit":10}],"limits":{}})";
}

int PortFleet::PutConfiguration(const std::string& aBody)
{
  return this->client.Put(
    this->controlPlane, "/api/configuration", QByteArray::fromStdString(aBody));
}

std::vector<PortFleet::HttpPort> PortFleet::HttpPorts() const
{
  return { { this->controlPlane, "/api/configuration", "PUT" },
           { this->controlHttp, "/v1/announcements", "POST" },
           { this->proxyHttp, "/v1/classes", "POST" },
           { this->readiness, "/api/readiness", "POST" } };
}

QNetworkReply* PortFleet::SendRegistration()
{
  const std::string body = R"({"service":"ledger","address":")" + this->databaseAddress +
                           R"(","zone":"near-zone","version":"v1","capacity":2,"state":"ready",)"
                           R"("warmup_remaining_ms":0,"database_role":"primary","born":1,)"
                           R"("sequence":)" +
                           std::to_string(++this->sequence) + "}";
  QNetworkRequest request(
    QUrl(QString::fromStdString("http://" + this->controlPlane + "/api/instances/i-only")));
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  return this->network.put(request, QByteArray::fromStdString(body));
}

int PortFleet::Register()
{
  QNetworkReply* reply = this->SendRegistration();
  WaitUntil([reply] { return reply->isFinished(); });
  reply->deleteLater();
  return reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
}

std::string PortFleet::Read(const std::string& aId) const
{
  const std::size_t colon = this->callers.rfind(':');
  QTcpSocket socket;
  socket.connectToHost(QString::fromStdString(this->callers.substr(0, colon)),
                       static_cast<quint16>(std::stoi(this->callers.substr(colon + 1))));
  const std::string text = "STARTUP orders tester\r\nQUERY " + aId + " READ a\r\n";
  socket.write(text.data(), static_cast<qint64>(text.size()));
  std::string answer;
  QElapsedTimer elapsed;
  elapsed.start();
  WaitUntil([&] {
    answer += socket.readAll().toStdString();
    return answer.find("DATAROW ") != std::string::npos ||
           answer.find("ERROR ") != std::string::npos || elapsed.elapsed() > kStatementTimeoutMs;
  });
  return answer;
}

bool PortFleet::IsReadServed()
{
  this->Register();
  return this->Read("s-" + std::to_string(this->sequence)).find("DATAROW ") != std::string::npos;
}

void PortFleet::CheckBounds()
{
  for (Process& process : this->processes) {
    INFO("process: " << process.name);
    REQUIRE_FALSE(process.child->HasEnded());
    const std::int64_t memory = MostResidentBytes(process.child->Id());
    const std::ptrdiff_t descriptors = OpenDescriptors(process.child->Id());
    CHECK(memory > 0);
    CHECK(memory <= process.memoryBound);
    CHECK(descriptors > 0);
    CHECK(descriptors <= kMostDescriptors);
  }
}

void PortFleet::CheckService()
{
  CHECK(WaitUntil(
    [this] { return this->client.Request(this->readiness, "/api/readiness").status == kHttpOk; }));
  CHECK(WaitUntil([this] { return this->Register() == kHttpOk; }));
  CHECK(WaitUntil([this] {
    return this->client.Request(this->controlPlane, "/api/configuration").status == kHttpOk;
  }));
  CHECK(WaitUntil([this] { return this->IsReadServed(); }));
  for (Process& process : this->processes) {
    INFO("process: " << process.name);
    CHECK_FALSE(process.child->HasEnded());
  }
}

} // namespace oleanderledge::test
