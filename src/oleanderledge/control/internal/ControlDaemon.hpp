#pragma once

#include "oleanderledge/consensus/ReplicatedLog.hpp"
#include "oleanderledge/control/ConnectionAllocator.hpp"
#include "oleanderledge/control/ControlLeader.hpp"
#include "oleanderledge/control/ControlRequestHandler.hpp"
#include "oleanderledge/control/ControlSettings.hpp"
#include "oleanderledge/control/ControlState.hpp"
#include "oleanderledge/control/IgnoredRegistrationWatch.hpp"
#include "oleanderledge/control/PositionDistributor.hpp"
#include "oleanderledge/control/PositionQuery.hpp"
#include "oleanderledge/control/PromotionService.hpp"
#include "oleanderledge/control/ServiceCoordinator.hpp"
#include "oleanderledge/control/internal/BackendAdmin.hpp"
#include "oleanderledge/control/internal/ControlGroup.hpp"
#include "oleanderledge/control/internal/ControlHttp.hpp"
#include "oleanderledge/control/internal/NotifyingState.hpp"
#include "oleanderledge/quotas/TokenAllocator.hpp"
#include "oleanderledge/transport/transport.hpp"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace oleanderledge {

class HeartbeatRelay;
class DirectoryPublisher;
class TokenRequestRelay;

/// A control process: connects the decisions of ControlLeader to links, HTTP, the replicated log
/// and backend servers. Runs in one thread.
class ControlDaemon
  : public QObject
  , public ControlRequestHandler
  , private LeadershipListener
  , private ControlHttpHandler
{
  Q_OBJECT

public:
  /// Creates the ControlGroup of this member.
  using GroupFactory =
    std::function<std::unique_ptr<ControlGroup>(ReplicatedState&, LeadershipListener&)>;

  ControlDaemon(const ControlSettings& aSettings, QObject* aParent);
  /// For tests: replaces the control group and the calls to backend servers.
  ControlDaemon(const ControlSettings& aSettings,
                const GroupFactory& aGroupFactory,
                std::unique_ptr<BackendAdmin> aBackendAdmin,
                QObject* aParent);
  ~ControlDaemon() override;

  /// Sets the service that promotes registered backend servers. Without it, promotions end as
  /// PromotionOutcome::Unanswered. Call before Start().
  void SetPromotionService(std::unique_ptr<PromotionService> aService);

  /// Limits that further HTTP servers of the process share with this one.
  const std::shared_ptr<HttpClients>& SharedHttpClients() const { return this->httpClients; }

  /// Replaces the link addresses ("ip:port") at which this member looks for other control
  /// instances.
  void SetPeerAddresses(std::vector<std::string> aAddresses);

  /// Sets the query for log positions of registered backend servers. Without it, positions count as
  /// unknown. Call before Start().
  void SetPositionQuery(std::unique_ptr<PositionQuery> aQuery);

  // ControlRequestHandler
  void RegisterBackend(const BackendRow& aBackend, Callback aCallback) override;
  void RemoveBackend(const std::string& aBackend, Callback aCallback) override;
  void StoreConfiguration(RouteConfiguration aConfiguration, Callback aCallback) override;
  Result<std::string> ReadConfiguration() const override;
  std::string LeaderIpAddress() const override;

  /// Opens the ports and starts the replicated log. Fails with ListenFailed, StorageCorrupt,
  /// StorageOpenFailed or StorageWriteFailed.
  Result<void> Start();

  /// Starts a graceful stop: waits until another member votes in place of this one, for at most
  /// ControlSettings::leaveLimit. `Stopped` is emitted when it is done.
  void BeginStop();

Q_SIGNALS:
  /// The daemon has stopped, on request or because the replicated log failed. In the second case
  /// `aError` tells the cause, and the process should exit with a failure.
  void Stopped(const oleanderledge::Error& aError);

  /// A failover that this member led has completed.
  void FailoverCompleted(const oleanderledge::FailoverDurations& aDurations);

private:
  void OnLeadershipGained(std::uint64_t aTerm) override;
  void OnLeadershipLost() override;

  void HandleAnnouncement(const Announcement& aAnnouncement) override;
  bool IsCurrentLeader() const override;
  std::string LeaderHttpAddress() const override;
  void HandleClassChange(const ChangeClass& aChange, OperatorCallback aCallback) override;
  QJsonObject Classes() const override;
  QJsonObject ClassHistory() const override;
  QJsonObject Status(std::uint64_t aVersion) const override;
  bool IsReady() const override;
  QByteArray Metrics() const override;

  void AcceptLink(LinkConnection* aLink);
  void HandleHeartbeat(LinkConnection* aLink, const Heartbeat& aHeartbeat);
  void HandleTokenRequest(LinkConnection* aLink, const TokenRequest& aRequest);
  /// Without the leader lease the reply is not accepted and grants nothing.
  TokenReply AnswerTokenRequest(const TokenRequest& aRequest);
  void HandleMemberMessage(const InstanceInfo& aPeer, const Message& aMessage);
  void HandleRelayedHeartbeats(const std::string& aPeer, const RelayedHeartbeats& aRelayed);
  void Tick();
  /// Ends a graceful stop once the group does not depend on this member, or after its time limit.
  void StopIfLeft(Instant aNow);
  /// Counts the proxies that are alive and not leaving, and removes dead ones from
  /// `positionDistributor`. Leader only.
  void UpdateProxyCount(Instant aNow);
  ReplicatedLog& Log() const { return this->group->Log(); }
  /// `aHasLeaderLease`: without it the reply is not accepted and grants no leases.
  HeartbeatReply AnswerHeartbeat(const Heartbeat& aHeartbeat,
                                 bool aHasLeaderLease,
                                 Instant aNow,
                                 ControlActions& aActions);
  Heartbeat MakeOwnHeartbeat();

  /// Executes actions in order. Actions that their results cause run later, from the event loop.
  void Execute(const ControlActions& aActions);
  void Execute(const ProposeAction& aAction);
  void Execute(const PromoteSlotAction& aAction);
  void Execute(const QueryStatusAction& aAction);
  void Execute(const PushReplyAction& aAction);
  void Execute(const PromoteBackendAction& aAction);
  void Execute(const QueryPositionAction& aAction);
  void Execute(const LogAction& aAction);
  /// Replicates the command of a ControlRequestHandler request and reports its outcome.
  void ProposeForRequest(const ControlCommand& aCommand, Callback aCallback);
  /// Replicates a registration and reports its outcome.
  void RecordRegistration(const ControlCommand& aCommand, Callback aCallback);
  /// Answers a registration that must not replace the recorded one. Records it nevertheless if the
  /// server runs.
  void HandleOutdatedRegistration(const BackendRow& aBackend,
                                  const BackendRow& aKnown,
                                  Callback aCallback);
  /// Registered servers, with those whose registration is being replicated.
  std::size_t CountBackends() const;
  /// Removes a registered server that has been silent for long, to make room for another one.
  void RemoveSilentBackend();
  /// Logs a failed call and passes each result to `leader`.
  BackendAdmin::Callback MakeBackendCallback(const std::string& aDatabase,
                                             const std::string& aSlot,
                                             const std::string& aCall);
  /// Round-trip time to add to a call to the backend server of a slot; zero unless latency is
  /// emulated.
  Duration EmulatedBackendRoundTrip(const std::string& aDatabase, const std::string& aSlot) const;

  ControlSettings settings;
  EmulatedLatency latency;
  ControlState state;
  NotifyingState notifyingState;
  ControlLeader leader;
  ConnectionAllocator connectionAllocator;
  ServiceCoordinator serviceCoordinator;
  IgnoredRegistrationWatch ignoredRegistrations;
  PositionDistributor positionDistributor;
  TokenAllocator tokenAllocator;
  std::unique_ptr<PromotionService> promotionService;
  std::unique_ptr<PositionQuery> positionQuery;
  std::unique_ptr<ControlGroup> group;
  std::unique_ptr<BackendAdmin> backendAdmin;
  LinkServer linkServer;
  DirectoryPublisher* publisher;
  HeartbeatRelay* relay;
  TokenRequestRelay* tokenRelay;
  std::shared_ptr<ResourceBudget> budget;
  std::shared_ptr<HttpClients> httpClients;
  ControlHttp http;
  QTimer tickTimer;
  Instant lastOwnHeartbeatAt{};
  std::uint64_t ownHeartbeatSequence = 0;
  std::uint32_t proxyCount = 0; ///< Proxies that were alive and not leaving when last counted.
  Instant proxiesCountedAt{};
  bool isRemovingBackend = false;            ///< RemoveSilentBackend() has not ended.
  std::size_t pendingConfigurationBytes = 0; ///< Of configurations that are being replicated.
  std::size_t pendingBackends = 0;           ///< Registrations that are being replicated.
  std::uint64_t announcementCount = 0;
  std::uint64_t heartbeatCount = 0;
  bool isStopping = false;
  std::optional<Instant> leaveDeadline; ///< Set once a planned stop has begun.
  /// Id of the follower that relays an instance's heartbeats, by id of the instance.
  std::map<std::string, std::string> relayByInstance;
  /// HTTP addresses of control instances that sent a message, by instance id.
  std::map<std::string, std::string> memberHttpAddresses;
};

} // namespace oleanderledge
