#pragma once

#include "oleanderledge/statements/StatementService.hpp"
#include "oleanderledge/statements/internal/ConnectionRelay.hpp"
#include "oleanderledge/statements/internal/ServiceDispatcher.hpp"
#include "oleanderledge/statements/internal/StatementSession.hpp"

#include <QObject>
#include <QTcpServer>
#include <QTimer>

#include <set>

namespace oleanderledge {

/// Accepts callers and owns their sessions and the dispatchers of the services.
class StatementServer
  : public QObject
  , public StatementService
  , private SessionHost
{
  Q_OBJECT

public:
  StatementServer(std::unique_ptr<StatementProtocol> aProtocol, StatementServiceSettings aSettings);
  ~StatementServer() override;

  /// Starts to listen for callers and for links of other proxies. Fails with ListenFailed.
  Result<void> Listen();

  void ApplyDirectory(std::shared_ptr<const Directory> aDirectory) override;
  void SetDrainDeadlines(const DrainDeadlineMap& aDeadlines) override;
  void SetDirectoryCurrentAt(Instant aHeartbeatSent) override;
  void SetProxyCount(std::uint32_t aCount) override;
  void ApplyConnectionGrants(const std::vector<ConnectionGrant>& aGrants) override;
  std::vector<BackendReport> TakeBackendReports(Instant aNow) override;
  std::vector<CommitReport> ReportCommits() const override;
  std::vector<PrimaryPosition> ObservedPositions() const override;
  void AddPeerPositions(const std::vector<PrimaryPosition>& aPositions) override;
  StatementCounters Counters() const override;
  void BeginStop() override;
  bool IsIdle() const override;

private:
  const Directory& CurrentDirectory() const override { return *this->directory; }
  ServiceDispatcher& DispatcherOf(const std::string& aService) override;
  bool RefusesNewWork() const override;
  OperationAdmission* Admission() const override { return this->settings.admission; }
  KeyDecision CheckKey(const RouteRow& aRoute, std::string_view aKeyDigest) const override;
  const ClientLimits& Limits() const override { return this->settings.clientLimits; }
  ResourceBudget& Budget() override { return *this->settings.budget; }
  void CloseSessionsOverBudget() override;
  void CountOutcome(std::uint32_t aPriority,
                    std::optional<StatementError> aError,
                    Duration aTook) override;

  void ApplyDirectoryTo(ServiceDispatcher& aDispatcher) const;
  ServiceDispatcher* FindDispatcherOf(const std::string& aBackend);
  /// Answers start-ups that wait for a configuration, or for proof that it is current.
  void ResumeStartUps();
  void AcceptPending();
  /// Tells a caller that the process has too many connections.
  void Refuse(QTcpSocket* aSocket, ClosingReason aReason);
  void CheckTimeLimits();
  void CheckStop(Instant aNow);

  std::unique_ptr<StatementProtocol> protocol;
  StatementServiceSettings settings;
  std::shared_ptr<const Directory> directory;
  DrainDeadlineMap drainDeadlines;
  Instant directoryCurrentAt{};
  KeyGate keyGate;
  std::uint32_t proxyCount = 0; ///< Live proxies; 0 if not known.
  QTcpServer server;
  LinkServer linkServer;
  RelayClient relayClient;
  ConnectionRelay relay;
  QTimer checkTimer;
  std::set<StatementSession*> sessions;
  std::map<ResourceBudget::ClientId, StatementSession*> sessionOfClient;
  std::map<std::string, ServiceDispatcher*, std::less<>> dispatchers;
  std::uint64_t answered = 0;
  std::map<std::uint32_t, PriorityTotals> byPriority;
  Instant idleClosedAt{};
  Instant stopStarted{};
  bool isStopping = false;
};

} // namespace oleanderledge
