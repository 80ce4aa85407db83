/// Test fixture: a service with three stand-in databases behind one proxy.
#pragma once

#include "oleanderledge/organisations/organisations.hpp"
#include "oleanderledge/platform/WireProtocol.hpp"
#include "oleanderledge/statements/statements.hpp"
#include "standin/platform/PlatformDatabase.hpp"
#include "tests/statements/Caller.hpp"

#include <QTimer>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>

namespace oleanderledge::test {

using standin::PlatformDatabase;
using standin::PlatformGroup;

/// One primary and two replicas behind one proxy, with a route for each level of read consistency.
class ServiceWithReplicas
{
public:
  /// `aProxyCount` is the number of proxies that the service is told; 0 if it is told none. Of
  /// `aSettings` only the times of a graceful stop and the limits are used.
  explicit ServiceWithReplicas(std::uint32_t aProxyCount = 1,
                               const StatementServiceSettings& aSettings = {})
    : primary(this->group, "i-primary")
    , near(this->group, "i-near")
    , far(this->group, "i-far")
  {
    this->group.service = "ledger";
    this->group.primary = "i-primary";
    this->group.items["a"] = "first";
    this->address = FreeAddress();
    this->linkAddress = FreeAddress();
    this->service = NewProxy("proxy-1", this->address, this->linkAddress, aSettings);
    this->service->SetProxyCount(aProxyCount);
    this->update.services = { { "ledger", 10, 0, 1, false } };
    this->update.configurationNumber = 1;
    this->AddRoute("orders", ReadConsistency::Primary);
    this->AddRoute("catalogue", ReadConsistency::BoundedStaleness);
    this->AddRoute("glaze", ReadConsistency::ReadYourWrites);
    this->AddBackend(this->primary, "far-zone", true);
    this->AddBackend(this->near, "near-zone", false);
    this->AddBackend(this->far, "far-zone", false);
    this->SetPrimary("i-primary");
  }

  static std::unique_ptr<StatementService> NewProxy(const std::string& aId,
                                                    const std::string& aCallersAddress,
                                                    const std::string& aLinkAddress,
                                                    const StatementServiceSettings& aSettings = {})
  {
    StatementServiceSettings settings = aSettings;
    settings.callersAddress = aCallersAddress;
    settings.self.id = aId;
    settings.self.zone = "east/near-zone";
    settings.self.linkAddress = aLinkAddress;
    settings.regionOfZone = { { "near-zone", "east" }, { "far-zone", "west" } };
    auto created = CreateStatementService(std::make_unique<platform::WireProtocol>(), settings);
    REQUIRE(created);
    return std::move(created.value());
  }

  void AddRoute(const std::string& aDatabase, ReadConsistency aConsistency)
  {
    RouteRow row;
    row.name = aDatabase + "/";
    row.database = aDatabase;
    row.consistency = aConsistency;
    row.statementTimeoutMs = 2000;
    row.targetLatencyMs = 4000;
    row.service = "ledger";
    row.acceptedAgeMs = 3000;
    row.version = 1;
    this->update.routes.push_back(row);
  }

  void AddBackend(PlatformDatabase& aDatabase, const std::string& aZone, bool aIsPrimary)
  {
    this->update.backends.push_back({ aDatabase.Id(),
                                      "ledger",
                                      aDatabase.Listen(),
                                      aZone,
                                      3,
                                      aIsPrimary,
                                      false,
                                      1,
                                      1,
                                      1,
                                      false });
  }

  void SetPrimary(const std::string& aBackend)
  {
    this->group.primary = aBackend;
    ++this->version;
    this->update.primaries = {
      { "ledger", aBackend, PrimaryPhase::Steady, this->version, "", this->version }
    };
    this->Publish();
  }

  /// Lets callers need a key, and adds an organisation or replaces its keys.
  void SetOrganisation(const std::string& aName, const std::vector<std::string>& aKeys)
  {
    ++this->version;
    OrganisationRow row;
    row.name = aName;
    for (const std::string& key : aKeys) {
      row.keyDigests.push_back(DigestOfKey(key));
    }
    row.version = this->version;
    std::erase_if(this->update.organisations,
                  [&aName](const OrganisationRow& aEach) { return aEach.name == aName; });
    this->update.organisations.push_back(row);
    this->update.usesOrganisations = true;
    ++this->update.configurationNumber;
    this->Publish();
  }

  /// Lets commits of the service wait for replicas.
  void SetSyncReplicas()
  {
    ++this->version;
    this->update.services.front().syncReplicas = 1;
    this->update.services.front().version = this->version;
    this->Publish();
  }

  /// Publishes that the primary is being replaced. Commits of the service wait for replicas.
  void ClosePrimary()
  {
    this->SetSyncReplicas();
    ++this->version;
    this->update.primaries.front().phase = PrimaryPhase::Closing;
    this->update.primaries.front().version = this->version;
    this->Publish();
  }

  /// Publishes that a server drains and that its drain deadline has passed.
  void EndDrainOf(const std::string& aBackend)
  {
    ++this->version;
    for (BackendRow& row : this->update.backends) {
      if (row.name == aBackend) {
        row.draining = true;
        row.version = this->version;
      }
    }
    this->Publish();
  }

  void Publish()
  {
    this->update.version = this->version;
    this->update.fromVersion = 0;
    this->directory.Apply(this->update);
    this->service->ApplyDirectory(std::make_shared<Directory>(this->directory));
    this->service->SetDirectoryCurrentAt(MonotonicNow());
  }

  /// Id of the database that last executed the statement, or "nowhere".
  std::string RanOn(const std::string& aStatement) const
  {
    std::string database = "nowhere";
    for (const auto& [id, runner] : this->group.runs) {
      if (id == aStatement) {
        database = runner;
      }
    }
    return database;
  }

  std::size_t RunsOf(const std::string& aStatement) const
  {
    return static_cast<std::size_t>(std::ranges::count(
      this->group.runs, aStatement, [](const auto& aRun) { return aRun.first; }));
  }

  PlatformGroup group;
  PlatformDatabase primary;
  PlatformDatabase near;
  PlatformDatabase far;
  std::string address;     ///< For callers.
  std::string linkAddress; ///< For other proxies.
  std::unique_ptr<StatementService> service;
  Directory directory;
  DirectoryUpdate update;
  std::uint64_t version = 1;
};

} // namespace oleanderledge::test
