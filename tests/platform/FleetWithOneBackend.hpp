/// Test fixture: a control instance and a proxy on the users' platform.
#pragma once

#include "oleanderledge/control/internal/ControlDaemon.hpp"
#include "oleanderledge/daemon/internal/ProxyDaemon.hpp"
#include "oleanderledge/platform/platform.hpp"
#include "standin/platform/PlatformDatabase.hpp"
#include "tests/control/HttpTestClient.hpp"
#include "tests/statements/Caller.hpp"

#include <QJsonArray>
#include <QTemporaryDir>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>

namespace oleanderledge::test {

/// Accepts every call.
class AcceptingPromotionService : public PromotionService
{
public:
  void Promote(const std::string& /*aService*/,
               const std::string& /*aBackend*/,
               const std::string& /*aHolder*/,
               std::uint64_t /*aFence*/,
               Callback aCallback) override
  {
    aCallback(PromotionOutcome::Accepted);
  }
};

/// A control instance and a proxy with the platform's interfaces, and the only backend server of a
/// service.
class FleetWithOneBackend : private WithApplication
{
public:
  FleetWithOneBackend()
    : database(group, "i-only")
    , databaseAddress(database.Listen())
  {
    this->group.service = "ledger";
    this->group.primary = "i-only";
    this->group.items["a"] = "first";
    this->StartControl();
    this->StartProxy();
    REQUIRE(WaitUntil([this] { return this->Register("ready") == 200; }));
    REQUIRE(this->client.Put(this->controlPlaneAddress, "/api/configuration", kConfiguration) ==
            200);
    REQUIRE(WaitUntil([this] { return this->HasPrimary(); }));
    REQUIRE(WaitUntil([this] { return this->Read("warm-up").starts_with("DATAROW "); }));
  }

  /// Sends a registration of the server and returns the status of the answer.
  int Register(const char* aState) { return this->Register("i-only", this->Registration(aState)); }
  /// Sends the body as registration of a server and returns the status of the answer.
  int Register(const char* aBackend, const QByteArray& aBody)
  {
    return this->client.Put(
      this->controlPlaneAddress, std::string("/api/instances/") + aBackend, aBody);
  }
  /// The server deregisters. Returns the status of the answer.
  int Deregister()
  {
    return this->client.Delete(this->controlPlaneAddress, "/api/instances/i-only");
  }
  /// Body of the next registration of the server.
  QByteArray Registration(const char* aState)
  {
    return R"({"service":"ledger","address":")" + QByteArray::fromStdString(this->databaseAddress) +
           R"(","zone":"near-zone","version":"v1","capacity":2,"state":")" + aState +
           R"(","warmup_remaining_ms":0,"database_role":"primary","born":1,"sequence":)" +
           QByteArray::number(++this->sequence) + "}";
  }

  /// The services as the control instance reports them.
  QJsonArray Services()
  {
    return this->client.Request(this->controlHttpAddress, "/v1/status").body["services"].toArray();
  }

  /// Sends a configuration with one route, "orders", and these tenants. Returns the status.
  int ConfigureTenants(const QByteArray& aTenants)
  {
    QByteArray body(kConfiguration);
    body.replace(R"("version":1)", R"("version":2)");
    body.replace(body.size() - 1, 1, R"(,"tenants":)" + aTenants + "}");
    return this->client.Put(this->controlPlaneAddress, "/api/configuration", body);
  }
  const std::string& CallersAddress() const { return this->callersAddress; }

  /// Sends a read in a new session and returns its answer.
  std::string Read(const std::string& aId)
  {
    Caller caller(this->callersAddress, "orders");
    return caller.Send("QUERY " + aId + " READ a");
  }

  /// Repeats the registration of the server until a read is served. Returns false if none is after
  /// this time.
  bool RegisterUntilServed(Duration aTime)
  {
    const Instant end = MonotonicNow() + aTime;
    while (MonotonicNow() < end) {
      this->Register("ready");
      if (this->Read("repeated").starts_with("DATAROW ")) {
        return true;
      }
      RunFor(std::chrono::milliseconds(300));
    }
    return false;
  }

  /// Ends the control instance and starts it again with its data folder.
  void RestartControl()
  {
    this->controlPlane.reset();
    this->control.reset();
    this->StartControl();
    REQUIRE(WaitUntil([this] { return this->Register("ready") == 200; }));
  }

  /// Processes events for this time.
  static void RunFor(Duration aTime)
  {
    const Instant end = MonotonicNow() + aTime;
    WaitUntil([end] { return MonotonicNow() >= end; });
  }

  bool HasRun(const std::string& aId) const
  {
    return std::ranges::any_of(this->group.runs,
                               [&aId](const auto& aRun) { return aRun.first == aId; });
  }

private:
  bool HasPrimary()
  {
    const QJsonArray services = this->Services();
    return !services.isEmpty() && services[0].toObject().value("primary") == "i-only";
  }

  void StartControl()
  {
    ControlSettings settings;
    settings.instance.id = "control-1";
    settings.instance.incarnation = 1;
    settings.instance.role = InstanceRole::Control;
    settings.instance.zone = "east/near-zone";
    settings.instance.linkAddress = this->controlLinkAddress;
    settings.instance.httpAddress = this->controlHttpAddress;
    settings.initialMembers = { { "", "control-1", this->controlLinkAddress, true } };
    settings.dataFolder = this->folder.path().toStdString();
    settings.nodeName = "control-1";
    this->control = std::make_unique<ControlDaemon>(settings, nullptr);
    this->control->SetPromotionService(std::make_unique<AcceptingPromotionService>());
    this->controlPlane = std::make_unique<platform::ControlPlaneServer>(*this->control, nullptr);
    REQUIRE(this->controlPlane->Listen(this->controlPlaneAddress));
    REQUIRE(this->control->Start());
  }

  void StartProxy()
  {
    Settings settings;
    settings.instance = "proxy-1";
    settings.zone = "east/near-zone";
    settings.linkAddress = FreeAddress();
    settings.httpAddress = FreeAddress();
    settings.callersAddress = this->callersAddress;
    settings.controlAddresses = { this->controlLinkAddress };
    settings.fleet.enabled = true;
    settings.fleet.nodeName = "proxy-1";
    settings.fleet.readinessAddress = FreeAddress();
    settings.fleet.regionOfZone = { { "near-zone", "east" } };
    this->proxy = std::make_unique<ProxyDaemon>(settings, "", nullptr);
    REQUIRE(this->proxy->Start());
  }

  static constexpr char kConfiguration[] =
    R"({"version":1,"routes":[{"name":"r","host":"orders","path_prefix":"/","route_kind":"primary",)"
    R"("timeout_ms":800,"target_latency_ms":400,"priority":0,"service":"ledger"}],)"
    R"("services":[{"name":"ledger","connection_limit":10}],"limits":{}})";

  QTemporaryDir folder;
  std::string controlLinkAddress = FreeAddress();
  std::string controlHttpAddress = FreeAddress();
  std::string controlPlaneAddress = FreeAddress();
  std::string callersAddress = FreeAddress();
  standin::PlatformGroup group;
  standin::PlatformDatabase database;
  std::string databaseAddress;
  std::unique_ptr<ControlDaemon> control;
  std::unique_ptr<platform::ControlPlaneServer> controlPlane;
  std::unique_ptr<ProxyDaemon> proxy;
  HttpTestClient client;
  int sequence = 0;
};

} // namespace oleanderledge::test
