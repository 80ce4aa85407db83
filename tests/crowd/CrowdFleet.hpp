/// Test fixture: a control instance and proxies as processes, and their database.
#pragma once

#include "soak/ChildProcess.hpp"
#include "standin/platform/PlatformDatabase.hpp"
#include "tests/control/HttpTestClient.hpp"
#include "tests/crowd/Crowd.hpp"

#include <QNetworkAccessManager>
#include <QTemporaryDir>
#include <QTimer>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace oleanderledge::test {

struct CrowdFleetOptions
{
  std::size_t proxies = 1;
  /// Connections that the proxies together may open to the backend server.
  int connectionLimit = 10;
  /// Connections of callers that a proxy accepts.
  int maxCallers = 300;
  int transactionIdleMs = 3000;
  /// Further lines of the section `limits` of the proxies, and of the settings of the control
  /// instance, for keys that versions before them reject. Left out if the environment variable
  /// OL_CROWD_WITHOUT_LIMITS is set, to run the tests on such a version; OL_CROWD_PROGRAM names it.
  std::string proxyLimits;
  std::string controlLimits;
};

/// The smallest proxy has 112 MB of memory.
constexpr std::size_t kProxyMemoryBytes = 112'000'000;
/// A control instance has 256 MB of memory.
constexpr std::size_t kControlMemoryBytes = 256'000'000;
constexpr std::size_t kControlDescriptors = 4096;
/// Descriptors of a proxy besides those of callers, stated as a base: libraries and event loops,
/// listening sockets, links, connections to servers, and connections that are being closed.
constexpr std::size_t kBaseDescriptors = 100;

/// The system's own processes on loopback addresses of this test program alone, and one backend
/// server in this process. Answers the statements of callers on the route `orders`.
class CrowdFleet : private WithApplication
{
public:
  explicit CrowdFleet(const CrowdFleetOptions& aOptions = {});
  ~CrowdFleet();
  CrowdFleet(const CrowdFleet&) = delete;
  CrowdFleet& operator=(const CrowdFleet&) = delete;

  // Addresses "ip:port" of the processes.
  std::string CallersAddress(std::size_t aProxy = 0) const;
  std::string ReadinessAddress(std::size_t aProxy = 0) const;
  std::string ProxyHttpAddress(std::size_t aProxy = 0) const;
  std::string ProxyLinkAddress(std::size_t aProxy = 0) const;
  std::string ControlPlaneAddress() const;
  std::string ControlHttpAddress() const;
  std::string ControlLinkAddress() const;

  /// Runs the event loop and the crowds until they have sent everything and a little longer, and
  /// for a bounded time.
  void Play(const std::vector<Crowd*>& aCrowds);
  /// Sends one line at a time in a new session and returns the last answer; empty if the connection
  /// closes. Runs the crowds meanwhile.
  std::string Ask(std::size_t aProxy,
                  const std::vector<std::string>& aLines,
                  const std::vector<Crowd*>& aCrowds = {});
  /// Checks that each process lives, that its peak of memory and the peak of its descriptors are
  /// within the bounds, and that each proxy answers an ordinary request, while the crowds are
  /// still connected.
  void Check(const std::vector<Crowd*>& aCrowds = {});

  HttpTestClient client;
  standin::PlatformGroup group;
  standin::PlatformDatabase database;

private:
  struct Process
  {
    std::string name;
    std::string ip;
    std::unique_ptr<soak::ChildProcess> child;
    std::size_t memoryBound = 0;
    std::size_t descriptorBound = 0;
    std::size_t mostDescriptors = 0; ///< Of those seen.
  };

  std::string PathOf(const std::string& aName) const;
  void Start(Process& aProcess, const std::string& aKind, const std::string& aSettings);
  std::string CommonSettings(const std::string& aInstance, const std::string& aIp) const;
  void Register();
  /// Processes events and gives each crowd a turn.
  void RunOnce(const std::vector<Crowd*>& aCrowds);
  void SampleDescriptors();

  CrowdFleetOptions options;
  QTemporaryDir folder;
  std::string databaseAddress;
  QNetworkAccessManager network;
  QTimer registrationTimer;
  int sequence = 0;
  std::vector<Process> processes; ///< The control instance, then the proxies.
};

} // namespace oleanderledge::test
