#pragma once

#include "oleanderledge/consensus/ReplicatedLog.hpp"
#include "oleanderledge/control/ConnectionAllocator.hpp"
#include "oleanderledge/control/ControlLeader.hpp"
#include "oleanderledge/control/ControlRequestHandler.hpp"
#include "oleanderledge/control/ControlSettings.hpp"
#include "oleanderledge/control/ControlState.hpp"
#include "oleanderledge/control/PositionDistributor.hpp"
#include "oleanderledge/control/PositionQuery.hpp"
#include "oleanderledge/control/PromotionService.hpp"
#include "oleanderledge/control/ServiceCoordinator.hpp"
#include "oleanderledge/control/internal/BackendAdmin.hpp"
#include "oleanderledge/control/internal/ControlGroup.hpp"
#include "oleanderledge/control/internal/ControlHttp.hpp"
#include "oleanderledge/control/internal/ObservedState.hpp"
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

/// A control process: connects the decisions of ControlLeader to links, HTTP, the replicated log
/// and backend servers. Lives in one thread.
class ControlDaemon
  : public QObject
  , public ControlRequestHandler
  , private LeadershipListener
  , private ControlHttpHandler
{
  Q_OBJECT

public:
  /// Creates the control group's adapter for this member.
  using GroupFactory =
    std::function<std::unique_ptr<ControlGroup>(ReplicatedState&, LeadershipListener&)>;

  ControlDaemon(const ControlSettings& aSettings, QObject* aParent);
  /// For tests: with another control group and other backend calls.
  ControlDaemon(const ControlSettings& aSettings,
                const GroupFactory& aGroupFactory,
                std::unique_ptr<BackendAdmin> aBackends,
                QObject* aParent);
  ~ControlDaemon() override;

  /// Who carries out promotions of registered backend servers. Call before Start().
  void SetPromotionService(std::unique_ptr<PromotionService> aService);

  /// Replaces the link addresses at which other control instances may be found.
  void SetPeerAddresses(std::vector<std::string> aAddresses);

  /// Who asks registered backend servers for their positions. Call before Start().
  void SetPositionQuery(std::unique_ptr<PositionQuery> aQuery);

  // ControlRequestHandler
  void RegisterBackend(const BackendRow& aBackend, Callback aCallback) override;
  void RemoveBackend(const std::string& aBackend, Callback aCallback) override;
  void StoreConfiguration(RouteConfiguration aConfiguration, Callback aCallback) override;
  Result<std::string> ReadConfiguration() const override;
  std::string LeaderIpAddress() const override;

  /// Opens the ports and starts the log. Fails with ListenFailed or a code of the storage.
  Result<void> Start();

  /// Starts a graceful stop; `Stopped` follows.
  void BeginStop();

Q_SIGNALS:
  /// The daemon has stopped, by request or because its log failed. A failed log is told by an error
  /// in the argument; the process should then exit with a failure.
  void Stopped(const oleanderledge::Error& aError);

  /// This member led a change of primary that is complete.
  void FailoverCompleted(const oleanderledge::FailoverDurations& aDurations);

private:
  void OnLeadershipGained(std::uint64_t aTerm) override;
  void OnLeadershipLost() override;

  void HandleAnnouncement(const Announcement& aAnnouncement) override;
  bool IsCurrentLeader() const override;
  std::string LeaderHttpAddress() const override;
  void ChangeClassNow(const ChangeClass& aChange, OperatorCallback aCallback) override;
  QJsonObject Classes() const override;
  QJsonObject History() const override;
  QJsonObject Status(std::uint64_t aVersion) const override;
  bool IsReady() const override;
  QByteArray Metrics() const override;

  void AcceptLink(LinkConnection* aLink);
  void HandleHeartbeat(LinkConnection* aLink, const Heartbeat& aHeartbeat);
  void HandleMemberMessage(const InstanceInfo& aPeer, const Message& aMessage);
  void HandleRelayedHeartbeats(const std::string& aPeer, const RelayedHeartbeats& aRelayed);
  void Tick();
  /// Counts the live proxies at the leader.
  void CountProxies(Instant aNow);
  ReplicatedLog& Log() const { return this->group->Log(); }
  HeartbeatReply AnswerHeartbeat(const Heartbeat& aHeartbeat,
                                 bool aHasLease,
                                 Instant aNow,
                                 ControlActions& aActions);
  Heartbeat OwnHeartbeat();

  /// Executes actions. Those that follow from them are queued behind.
  void Execute(const ControlActions& aActions);
  void Execute(const ProposeAction& aAction);
  void Execute(const PromoteSlotAction& aAction);
  void Execute(const QueryStatusAction& aAction);
  void Execute(const PushReplyAction& aAction);
  void Execute(const PromoteBackendAction& aAction);
  void Execute(const QueryPositionAction& aAction);
  void Execute(const LogAction& aAction);
  /// Replicates a command for a caller of ControlRequestHandler.
  void ProposeFor(const ControlCommand& aCommand, Callback aCallback);
  BackendAdmin::Callback BackendCallback(const std::string& aDatabase,
                                         const std::string& aSlot,
                                         const std::string& aCall);
  /// Round trip of a backend call with emulated latency.
  Duration BackendRoundTrip(const std::string& aDatabase, const std::string& aSlot) const;

  ControlSettings settings;
  EmulatedLatency latency;
  ControlState state;
  ObservedState observedState;
  ControlLeader leader;
  ConnectionAllocator shares;
  ServiceCoordinator services;
  PositionDistributor positionBoard;
  std::unique_ptr<PromotionService> promotions;
  std::unique_ptr<PositionQuery> positions;
  std::unique_ptr<ControlGroup> group;
  std::unique_ptr<BackendAdmin> backends;
  LinkServer linkServer;
  DirectoryPublisher* publisher;
  HeartbeatRelay* relay;
  ControlHttp http;
  QTimer tickTimer;
  Instant ownHeartbeatAt{};
  std::uint64_t ownHeartbeatSequence = 0;
  std::uint32_t proxyCount = 0;
  Instant proxiesCountedAt{};
  std::uint64_t announcementCount = 0;
  std::uint64_t heartbeatCount = 0;
  bool isStopping = false;
  /// Follower through which an instance's heartbeats arrive, by instance id.
  std::map<std::string, std::string> relayOf;
  /// HTTP addresses of control instances that sent a message, by instance id.
  std::map<std::string, std::string> memberHttp;
};

} // namespace oleanderledge
