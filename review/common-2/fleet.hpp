// A small deployment on loopback addresses: the project's own programs as processes, and stand-ins
// for databases, operator, clients and the platform's promotion call. POSIX only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

inline long NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count();
}

inline void SleepMs(long aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

constexpr int kHeld = 0;        // The rule held.
constexpr int kBroken = 1;      // The rule was broken.
constexpr int kCouldNotRun = 2; // The case could not run.

/// Writes the record of the run.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file(std::fopen(aPath.c_str(), "w"))
  {
  }
  void Line(const std::string& aText)
  {
    const std::lock_guard lock(this->mutex);
    if (this->file != nullptr) {
      std::fprintf(this->file, "%8ld %s\n", NowMs(), aText.c_str());
      std::fflush(this->file);
    }
  }

private:
  std::mutex mutex;
  std::FILE* file;
};

// --- Sockets ------------------------------------------------------------------------------------

inline sockaddr_in AddressOf(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

/// A port that was free on all loopback addresses.
inline int FreePort()
{
  static std::set<int> taken;
  for (int attempt = 0; attempt < 50; ++attempt) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = AddressOf("0.0.0.0", 0);
    bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    close(fd);
    const int port = ntohs(address.sin_port);
    if (taken.insert(port).second) {
      return port;
    }
  }
  return 0;
}

inline int ListenOn(const std::string& aIp, int aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in address = AddressOf(aIp, aPort);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/// A blocking connection with time limits that reads lines.
class Socket
{
public:
  Socket() = default;
  explicit Socket(int aFd)
    : fd(aFd)
  {
    const int one = 1;
    setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { this->Close(); }

  bool Connect(const std::string& aIp, int aPort, long aTimeoutMs)
  {
    this->Close();
    const int created = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address = AddressOf(aIp, aPort);
    const int result = connect(created, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    if (result != 0) {
      pollfd entry{ created, POLLOUT, 0 };
      int failure = 0;
      socklen_t size = sizeof(failure);
      if (errno != EINPROGRESS || poll(&entry, 1, static_cast<int>(aTimeoutMs)) != 1 ||
          getsockopt(created, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
        close(created);
        return false;
      }
    }
    fcntl(created, F_SETFL, fcntl(created, F_GETFL) & ~O_NONBLOCK);
    const int one = 1;
    setsockopt(created, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    this->fd = created;
    return true;
  }

  void Close()
  {
    if (this->fd >= 0) {
      close(this->fd);
      this->fd = -1;
    }
    this->buffer.clear();
  }

  void Shutdown()
  {
    if (this->fd >= 0) {
      shutdown(this->fd, SHUT_RDWR);
    }
  }

  bool IsOpen() const { return this->fd >= 0; }

  bool Send(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t count =
        send(this->fd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  /// Reads more bytes until the deadline; false at the end or when the time is over.
  bool Fill(long aDeadlineMs)
  {
    const long left = aDeadlineMs - NowMs();
    pollfd entry{ this->fd, POLLIN, 0 };
    if (this->fd < 0 || poll(&entry, 1, static_cast<int>(std::max(left, 0L))) != 1) {
      this->timedOut = true;
      return false;
    }
    char bytes[16384];
    const ssize_t count = recv(this->fd, bytes, sizeof(bytes), 0);
    this->timedOut = false;
    if (count <= 0) {
      return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  std::optional<std::string> ReadLine(long aDeadlineMs)
  {
    for (;;) {
      const std::size_t end = this->buffer.find("\r\n");
      if (end != std::string::npos) {
        std::string line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        return line;
      }
      if (!this->Fill(aDeadlineMs)) {
        return std::nullopt;
      }
    }
  }

  std::optional<std::string> ReadBytes(std::size_t aCount, long aDeadlineMs)
  {
    while (this->buffer.size() < aCount) {
      if (!this->Fill(aDeadlineMs)) {
        return std::nullopt;
      }
    }
    std::string bytes = this->buffer.substr(0, aCount);
    this->buffer.erase(0, aCount);
    return bytes;
  }

  /// True if the last failed read ended by its time limit and not by the peer.
  bool HasTimedOut() const { return this->timedOut; }

private:
  int fd = -1;
  bool timedOut = false;
  std::string buffer;
};

inline std::pair<std::string, int> SplitAddress(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  return { aAddress.substr(0, colon), std::atoi(aAddress.c_str() + colon + 1) };
}

// --- HTTP ---------------------------------------------------------------------------------------

struct HttpMessage
{
  std::string first;                          // Request or status line.
  std::map<std::string, std::string> headers; // Names in lower case.
  std::string body;
  int status = 0;   // 0: no answer.
  std::string from; // The address that answered.
};

inline std::optional<HttpMessage> ReadHttp(Socket& aSocket, long aDeadlineMs)
{
  HttpMessage message;
  const auto first = aSocket.ReadLine(aDeadlineMs);
  if (!first) {
    return std::nullopt;
  }
  message.first = *first;
  for (;;) {
    const auto line = aSocket.ReadLine(aDeadlineMs);
    if (!line) {
      return std::nullopt;
    }
    if (line->empty()) {
      break;
    }
    const std::size_t colon = line->find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line->substr(0, colon);
    for (char& letter : name) {
      letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    std::string value = line->substr(colon + 1);
    while (!value.empty() && value.front() == ' ') {
      value.erase(0, 1);
    }
    message.headers[name] = value;
  }
  const auto length = message.headers.find("content-length");
  if (length != message.headers.end()) {
    const auto body = aSocket.ReadBytes(std::stoul(length->second), aDeadlineMs);
    if (!body) {
      return std::nullopt;
    }
    message.body = *body;
  }
  return message;
}

/// One call without redirects. Status 0 means no complete answer within the time.
inline HttpMessage CallHttp(const std::string& aAddress,
                            const std::string& aMethod,
                            const std::string& aPath,
                            const std::string& aBody,
                            long aTimeoutMs)
{
  const long deadline = NowMs() + aTimeoutMs;
  const auto [ip, port] = SplitAddress(aAddress);
  Socket socket;
  if (!socket.Connect(ip, port, aTimeoutMs)) {
    return {};
  }
  socket.Send(aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aAddress +
              "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
              std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  auto answer = ReadHttp(socket, deadline);
  if (!answer) {
    return {};
  }
  const std::size_t blank = answer->first.find(' ');
  answer->status = blank == std::string::npos ? 0 : std::atoi(answer->first.c_str() + blank);
  answer->from = aAddress;
  return *answer;
}

/// A call that follows two redirects, as all callers of the control plane do.
inline HttpMessage CallControlPlane(const std::string& aAddress,
                                    const std::string& aMethod,
                                    const std::string& aPath,
                                    const std::string& aBody)
{
  std::string address = aAddress;
  for (int redirects = 0;; ++redirects) {
    HttpMessage answer = CallHttp(address, aMethod, aPath, aBody, 1000);
    const auto location = answer.headers.find("location");
    if (answer.status != 307 || location == answer.headers.end() || redirects == 2) {
      return answer;
    }
    const std::string rest = location->second.substr(std::strlen("http://"));
    address = rest.substr(0, rest.find('/'));
  }
}

// --- Processes ----------------------------------------------------------------------------------

/// One process of the project.
class Process
{
public:
  Process(std::string aName,
          std::vector<std::string> aArguments,
          std::string aSettings,
          std::string aLog)
    : name(std::move(aName))
    , arguments(std::move(aArguments))
    , settings(std::move(aSettings))
    , log(std::move(aLog))
  {
  }

  void Start()
  {
    std::vector<char*> argv;
    for (std::string& argument : this->arguments) {
      argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    std::string variable = "OLEANDERLEDGE_CONFIG=" + this->settings;
    std::string path = "PATH=/usr/bin:/bin";
    char* environment[] = { variable.data(), path.data(), nullptr };
    const pid_t parent = getpid();
    const pid_t child = fork();
    if (child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(126);
      }
      const int output = open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(output, 1);
      dup2(output, 2);
      for (int fd = 3; fd < 1024; ++fd) {
        close(fd);
      }
      execve(argv[0], argv.data(), environment);
      _exit(127);
    }
    this->pid = child;
  }

  void Signal(int aSignal) const
  {
    if (this->pid > 0) {
      kill(this->pid, aSignal);
    }
  }

  /// True if the process has ended; its status is then known.
  bool HasEnded()
  {
    if (this->pid <= 0) {
      return true;
    }
    int result = 0;
    if (waitpid(this->pid, &result, WNOHANG) == this->pid) {
      this->status = result;
      this->pid = -1;
      return true;
    }
    return false;
  }

  void Kill()
  {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      int result = 0;
      waitpid(this->pid, &result, 0);
      this->status = result;
      this->pid = -1;
    }
  }

  const std::string& Name() const { return this->name; }
  const std::string& Settings() const { return this->settings; }
  pid_t Pid() const { return this->pid; }
  int Status() const { return this->status; }

private:
  std::string name;
  std::vector<std::string> arguments;
  std::string settings;
  std::string log;
  pid_t pid = -1;
  int status = 0;
};

struct FleetShape
{
  int controls = 5;
  int proxies = 1;
  int toleratedLosses = 2;
  int drainMs = 7000;
  int heartbeatMs = 1200;
};

/// Control instances and proxies with settings as the templates in deploy/platform give them.
class Fleet
{
public:
  Fleet(const FleetShape& aShape, std::string aProgram)
    : shape(aShape)
    , program(std::move(aProgram))
  {
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
    const int id = getpid();
    this->network =
      "127." + std::to_string(20 + id % 200) + "." + std::to_string(id / 200 % 250) + ".";
    this->linkPort = FreePort();
    this->httpPort = FreePort();
    this->controlPlanePort = FreePort();
    this->frontendPort = FreePort();
    this->readinessPort = FreePort();
    this->promotionPort = FreePort();
    for (int index = 0; index < this->shape.controls; ++index) {
      this->AddControl(index, true);
    }
    for (int index = 0; index < this->shape.proxies; ++index) {
      this->AddProxy(index);
    }
  }

  ~Fleet()
  {
    for (const auto& process : this->controls) {
      process->Kill();
    }
    for (const auto& process : this->proxies) {
      process->Kill();
    }
    if (std::getenv("KEEP") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(this->folder, ignored);
    }
  }

  void StartAll()
  {
    for (const auto& process : this->controls) {
      process->Start();
    }
    for (const auto& process : this->proxies) {
      process->Start();
    }
  }

  std::string Ip(int aHost) const { return this->network + std::to_string(aHost); }
  std::string ControlIp(int aIndex) const { return this->Ip(11 + aIndex); }
  std::string ProxyIp(int aIndex) const { return this->Ip(31 + aIndex); }
  std::string DatabaseIp(int aIndex) const { return this->Ip(61 + aIndex); }
  std::string PromotionIp() const { return this->Ip(5); }
  int PromotionPort() const { return this->promotionPort; }
  int FrontendPort() const { return this->frontendPort; }
  const std::string& Folder() const { return this->folder; }
  std::string DataFolder(int aControl) const
  {
    return this->folder + "/control-" + std::to_string(aControl + 1) + "-data";
  }
  std::string ControlPlane(int aIndex) const
  {
    return this->ControlIp(aIndex) + ":" + std::to_string(this->controlPlanePort);
  }
  std::vector<std::string> ControlPlanes() const
  {
    std::vector<std::string> addresses;
    for (int index = 0; index < this->shape.controls; ++index) {
      addresses.push_back(this->ControlPlane(index));
    }
    return addresses;
  }
  Process& Control(int aIndex) { return *this->controls[static_cast<std::size_t>(aIndex)]; }
  Process& Proxy(int aIndex) { return *this->proxies[static_cast<std::size_t>(aIndex)]; }
  int Controls() const { return this->shape.controls; }

  /// `ctl`-style status of a control instance, for the record only.
  std::string StatusOf(int aControl) const
  {
    return CallHttp(this->ControlIp(aControl) + ":" + std::to_string(this->httpPort),
                    "GET",
                    "/v1/status",
                    "",
                    500)
      .body;
  }

  /// Starts a control instance again with an empty disk; `bootstrap` is false then.
  void LoseDisk(int aControl)
  {
    std::filesystem::remove_all(this->DataFolder(aControl));
    this->WriteControlSettings(aControl, false);
  }
  void WriteControlSettings(int aControl, bool aBootstrap)
  {
    std::string text = this->Common(this->ControlIp(aControl), this->ControlIp(aControl));
    text += "data_folder: \"" + this->DataFolder(aControl) + "\"\nfleet:\n";
    text += "  node_name: \"core-" + std::to_string(aControl + 1) + "\"\n";
    text += "  control_plane: \"" + this->ControlPlane(aControl) + "\"\n";
    text +=
      "  promotion: \"" + this->PromotionIp() + ":" + std::to_string(this->promotionPort) + "\"\n";
    text += this->SeedsAndZones();
    text += "  registration_interval_ms: " + std::to_string(this->shape.heartbeatMs) + "\n";
    text += "  tolerated_losses: " + std::to_string(this->shape.toleratedLosses) + "\n";
    text += std::string("  may_found_group: ") + (aBootstrap ? "true" : "false") + "\n";
    text += "  stop_limit_ms: 5000\n";
    std::ofstream(this->folder + "/control-" + std::to_string(aControl + 1) + ".yaml") << text;
  }

private:
  std::string Common(const std::string& aInstance, const std::string& aIp) const
  {
    return "instance: \"" + aInstance + "\"\nzone: \"dalarna/mora-a\"\nlisten:\n  link: \"" + aIp +
           ":" + std::to_string(this->linkPort) + "\"\n  http: \"" + aIp + ":" +
           std::to_string(this->httpPort) + "\"\n";
  }

  std::string SeedsAndZones() const
  {
    std::string text = "  seeds: [";
    for (int index = 0; index < std::min(3, this->shape.controls); ++index) {
      text += (index == 0 ? "\"" : ",\"") + this->ControlPlane(index) + "\"";
    }
    return text + "]\n  zones:\n    - {name: \"mora-a\", region: \"dalarna\"}\n";
  }

  void AddControl(int aIndex, bool aBootstrap)
  {
    const std::string name = "control-" + std::to_string(aIndex + 1);
    std::filesystem::create_directories(this->DataFolder(aIndex));
    this->WriteControlSettings(aIndex, aBootstrap);
    this->controls.push_back(
      std::make_unique<Process>(name,
                                std::vector<std::string>{ this->program, "control" },
                                this->folder + "/" + name + ".yaml",
                                this->folder + "/" + name + ".log"));
  }

  void AddProxy(int aIndex)
  {
    const std::string name = "proxy-" + std::to_string(aIndex + 1);
    std::string text = this->Common(name, this->ProxyIp(aIndex));
    text +=
      "  callers: \"" + this->ProxyIp(aIndex) + ":" + std::to_string(this->frontendPort) + "\"\n";
    text += "fleet:\n  node_name: \"" + name + "\"\n";
    text += "  readiness: \"" + this->ProxyIp(aIndex) + ":" + std::to_string(this->readinessPort) +
            "\"\n";
    text += this->SeedsAndZones();
    text +=
      "  stop_limit_ms: 5500\n  backend_drain_ms: " + std::to_string(this->shape.drainMs) + "\n";
    text += "limits:\n  memory_mb: 260\n  file_descriptors: 4200\n";
    std::ofstream(this->folder + "/" + name + ".yaml") << text;
    this->proxies.push_back(
      std::make_unique<Process>(name,
                                std::vector<std::string>{ this->program, "proxy" },
                                this->folder + "/" + name + ".yaml",
                                this->folder + "/" + name + ".log"));
  }

  FleetShape shape;
  std::string program;
  std::string folder;
  std::string network;
  int linkPort = 0;
  int httpPort = 0;
  int controlPlanePort = 0;
  int frontendPort = 0;
  int readinessPort = 0;
  int promotionPort = 0;
  std::vector<std::unique_ptr<Process>> controls;
  std::vector<std::unique_ptr<Process>> proxies;
};

// --- Operator -----------------------------------------------------------------------------------

/// A configuration with a route to each of the services "ledger", "ledger-2" and so on; the names
/// of the databases are "orders", "orders-2" and so on.
inline std::string Configuration(int aVersion,
                                 const std::string& aKind,
                                 int aTimeoutMs,
                                 int aLimit,
                                 int aSyncReplicas = 0,
                                 int aServices = 1)
{
  std::string routes;
  std::string services;
  for (int index = 1; index <= aServices; ++index) {
    const std::string suffix = index == 1 ? "" : "-" + std::to_string(index);
    const std::string comma = index == 1 ? "" : ",";
    routes += comma + "{\"name\":\"r-" + std::to_string(index) + "\",\"host\":\"orders" + suffix +
              "\",\"path_prefix\":\"/\",\"route_kind\":\"" + aKind +
              "\",\"timeout_ms\":" + std::to_string(aTimeoutMs) +
              ",\"target_latency_ms\":400,\"priority\":0,\"service\":\"ledger" + suffix +
              "\",\"max_attempts\":2,\"max_staleness_ms\":1500}";
    services += comma + "{\"name\":\"ledger" + suffix +
                "\",\"health_path\":\"/health\",\"connection_limit\":" + std::to_string(aLimit) +
                ",\"protocol\":\"h1\",\"tls_enabled\":false,\"sync_replicas\":" +
                std::to_string(aSyncReplicas) + "}";
  }
  return "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[" + routes +
         "],\"services\":[" + services +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"transaction_idle_ms\":3000}}";
}

/// Sends a configuration to one node after the other until it is acknowledged.
inline bool SendConfiguration(Fleet& aFleet, Record& aRecord, const std::string& aBody, long aForMs)
{
  const long end = NowMs() + aForMs;
  long pause = 50;
  for (int index = 0; NowMs() < end; index = (index + 1) % aFleet.Controls()) {
    const HttpMessage answer =
      CallControlPlane(aFleet.ControlPlane(index), "PUT", "/api/configuration", aBody);
    if (answer.status == 200) {
      aRecord.Line("operator: " + aBody.substr(0, 14) + " acknowledged through core-" +
                   std::to_string(index + 1));
      return true;
    }
    SleepMs(pause);
    pause = std::min(pause * 2, 400L);
  }
  aRecord.Line("operator: " + aBody.substr(0, 14) + " not acknowledged");
  return false;
}

/// Reads the configuration at all nodes in turn; empty if nobody answers with one.
inline std::string ReadConfiguration(Fleet& aFleet, long aForMs)
{
  const long end = NowMs() + aForMs;
  for (int index = 0; NowMs() < end; index = (index + 1) % aFleet.Controls()) {
    const HttpMessage answer =
      CallControlPlane(aFleet.ControlPlane(index), "GET", "/api/configuration", "");
    if (answer.status == 200) {
      return answer.body;
    }
    SleepMs(100);
  }
  return {};
}

} // namespace review
