/// Test fixture: a control instance and a proxy as processes on loopback addresses.
#pragma once

#include "soak/ChildProcess.hpp"
#include "standin/platform/PlatformDatabase.hpp"
#include "tests/control/HttpTestClient.hpp"

#include <QNetworkAccessManager>
#include <QTemporaryDir>
#include <QTimer>

#include <memory>
#include <string>
#include <vector>

namespace oleanderledge::test {

/// A control instance, a proxy and the only backend server of a service. Statements are served once
/// the constructor returns.
///
/// The settings lower the limits on connections and times; the limits on bytes have their defaults.
/// They are left out if the environment has OL_CROWD_WITHOUT_LIMITS, for programs that do not know
/// the settings.
class PortFleet : private WithApplication
{
public:
  PortFleet();

  struct Process
  {
    std::string name;
    std::unique_ptr<soak::ChildProcess> child;
    std::int64_t memoryBound = 0;
  };

  /// A port that serves HTTP.
  struct HttpPort
  {
    std::string address;
    std::string path;   ///< Of a request that the port serves.
    std::string method; ///< Of a request with a body.
  };

  /// Requires that both processes live and held to the bounds of memory (VmHWM, the most that was
  /// resident since the start) and of open descriptors.
  void CheckBounds();

  /// Requires that one ordinary request of each kind is answered: a readiness probe, a
  /// registration, a read of the configuration and a statement.
  void CheckService();

  std::vector<HttpPort> HttpPorts() const;
  std::vector<std::string> LinkAddresses() const { return { this->controlLink, this->proxyLink }; }
  int PutConfiguration(const std::string& aBody);

  /// A configuration of the fleet with this number and further routes.
  static std::string Configuration(std::uint64_t aNumber, const std::string& aMoreRoutes = "");

  std::string controlLink;
  std::string controlHttp;
  std::string controlPlane;
  std::string proxyLink;
  std::string proxyHttp;
  std::string callers;
  std::string readiness;
  HttpTestClient client;

private:
  void WriteSettings() const;
  void Start(const std::string& aKind, std::int64_t aMemoryBound);
  std::string PathOf(const std::string& aName) const;
  QNetworkReply* SendRegistration();
  int Register();
  /// Sends a read in a new session and returns the answer.
  std::string Read(const std::string& aId) const;
  bool IsReadServed();

  QTemporaryDir folder;
  standin::PlatformGroup group;
  standin::PlatformDatabase database;
  std::string databaseAddress;
  std::vector<Process> processes;
  QNetworkAccessManager network;
  /// The server repeats its registration while a crowd runs, as a server without faults does.
  QTimer registrationTimer;
  int sequence = 0;
};

} // namespace oleanderledge::test
