#include "soak/ChildProcess.hpp"
#include "tests/control/HttpTestClient.hpp"

#include <QTemporaryDir>

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>

using namespace oleanderledge;

namespace {

constexpr int kPipeBytes = 4096; ///< The smallest size that Linux allows.
constexpr mode_t kMode = 0600;
constexpr int kHttpOk = 200;

/// A named pipe that is full and never read: who writes to it waits without a bound.
class FullPipe
{
public:
  explicit FullPipe(std::string aPath)
    : path(std::move(aPath))
  {
    REQUIRE(::mkfifo(this->path.c_str(), kMode) == 0);
    this->descriptor = ::open(this->path.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
    REQUIRE(::fcntl(this->descriptor, F_SETPIPE_SZ, kPipeBytes) == kPipeBytes);
    const std::string filler(kPipeBytes, 'x');
    REQUIRE(::write(this->descriptor, filler.data(), filler.size()) == kPipeBytes);
  }
  ~FullPipe() { ::close(this->descriptor); }
  FullPipe(const FullPipe&) = delete;
  FullPipe& operator=(const FullPipe&) = delete;

  const std::string& Path() const { return this->path; }

private:
  std::string path;
  int descriptor = -1;
};

/// A loopback address of this test program alone, with ports that no outgoing connection gets, so
/// that nobody takes a port before the daemon opens it.
std::string OwnIp()
{
  const auto id = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(64 + id / 65536 % 64) + "." + std::to_string(id / 256 % 256) +
         "." + std::to_string(id % 256);
}

std::string OwnAddress(int aNumber)
{
  constexpr int kFirstPort = 24000;
  return OwnIp() + ":" + std::to_string(kFirstPort + aNumber);
}

/// The only member of a control group, or a proxy without control.
struct DaemonFixture : WithApplication
{
  DaemonFixture()
  {
    const std::string common =
      "zone: east/near\nlisten:\n  link: '" + OwnAddress(1) + "'\n  http: '" + this->http + "'\n";
    const std::string fleet = "fleet:\n  seeds: ['" + this->controlPlane +
                              "']\n  zones: [{name: near, region: east}]\n  node_name: one\n"
                              "  stop_limit_ms: 1000\n";
    std::ofstream(this->PathOf("control.yaml"))
      << "instance: '" << OwnIp() << "'\ndata_folder: '" << this->PathOf("data") << "'\n"
      << common << fleet << "  control_plane: '" << this->controlPlane << "'\n  promotion: '"
      << OwnAddress(4)
      << "'\n  registration_interval_ms: 300\n  tolerated_losses: 0\n  may_found_group: true\n";
    std::ofstream(this->PathOf("proxy.yaml"))
      << "instance: proxy-1\n"
      << common << "  callers: '" << OwnAddress(5) << "'\n"
      << fleet << "  readiness: '" << OwnAddress(6) << "'\n  backend_drain_ms: 500\n";
  }

  std::string PathOf(const char* aName) const
  {
    return this->folder.filePath(QString::fromLatin1(aName)).toStdString();
  }

  void Start(const std::string& aKind, const std::string& aOutput)
  {
    this->child = std::make_unique<soak::ChildProcess>(
      OL_PROGRAM,
      std::vector<std::string>{ aKind, "--settings=" + this->PathOf((aKind + ".yaml").c_str()) },
      aOutput);
  }

  /// Waits for an answer of 200 from an endpoint of the daemon.
  bool WaitForOk(const char* aPath)
  {
    return WaitUntil(
      [this, aPath] { return this->client.Request(this->http, aPath).status == kHttpOk; });
  }

  /// Sends SIGTERM and waits 10 s for the end, in which each daemon promises to stop.
  bool Stop() const
  {
    this->child->Signal(SIGTERM);
    return WaitUntil([this] { return this->child->HasEnded(); });
  }

  QTemporaryDir folder;
  std::string http = OwnAddress(2);
  std::string controlPlane = OwnAddress(3);
  HttpTestClient client;
  std::unique_ptr<soak::ChildProcess> child;
};

} // namespace

// Guards against a process that waits at its end until its standard output is read.
TEST_CASE_METHOD(DaemonFixture, "A daemon whose standard output is not read ends", "[process]")
{
  const auto kind = GENERATE(as<std::string>{}, "control", "proxy");
  CAPTURE(kind);
  const FullPipe output(this->PathOf("output"));
  this->Start(kind, output.Path());
  REQUIRE(this->WaitForOk("/healthz"));
  const bool hasEnded = this->Stop();
  INFO(this->child->DescribeThreads());
  CHECK(hasEnded);
  CHECK(this->child->Status() == 0);
}

// Guards against a process that waits at its end for a write of its storage, for example a sync on
// a busy disk. Also guards what was acknowledged before: the write is cut, as by a crash.
TEST_CASE_METHOD(DaemonFixture, "A control instance ends although a write hangs", "[process]")
{
  const std::string log = this->PathOf("log");
  this->Start("control", log);
  REQUIRE(this->WaitForOk("/readyz"));
  // Nobody reads from this pipe, so that opening it to write a snapshot never returns.
  const std::string temporary = this->PathOf("data/snapshot.tmp");
  REQUIRE(::mkfifo(temporary.c_str(), kMode) == 0);
  // A snapshot follows 1 MiB of commands.
  constexpr int kConfigurations = 3;
  constexpr qsizetype kPaddingBytes = qsizetype{ 400 } * 1024;
  const QByteArray padding(kPaddingBytes, ' ');
  const std::string path = "/api/configuration";
  for (int number = 1; number <= kConfigurations; ++number) {
    const QByteArray body = R"({"version": )" + QByteArray::number(number) +
                            R"(, "routes": [], "services": []})" + padding;
    REQUIRE(this->client.Put(this->controlPlane, path, body) == kHttpOk);
  }
  const bool hasEnded = this->Stop();
  INFO(this->child->DescribeThreads());
  CHECK(hasEnded);
  CHECK(this->child->Status() == 0);
  std::ifstream file(log);
  const std::string lines(std::istreambuf_iterator<char>(file), {});
  CHECK(lines.find("step=event_loop") != std::string::npos);
  // If the objects had been destroyed, no write would have been in progress.
  CHECK(lines.find("step=objects") == std::string::npos);

  REQUIRE(::unlink(temporary.c_str()) == 0);
  this->Start("control", log);
  REQUIRE(this->WaitForOk("/readyz"));
  CHECK(this->client.Request(this->controlPlane, path).body.value("version").toInt() ==
        kConfigurations);
}
