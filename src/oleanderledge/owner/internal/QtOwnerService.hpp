#pragma once

#include "oleanderledge/owner/OwnerFactory.hpp"
#include "oleanderledge/owner/internal/BackendMonitor.hpp"
#include "oleanderledge/owner/internal/DatabaseOwner.hpp"

#include <QObject>
#include <QTimer>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace oleanderledge {

/// Runs the database owners of this process: connects them to sockets, timers and links.
class QtOwnerService
  : public QObject
  , public OwnerService
{
  Q_OBJECT

public:
  QtOwnerService(QObject* aParent, ReplySink& aSink, OwnerSettings aSettings);
  ~QtOwnerService() override;

  void Submit(LinkId aLink, StatementRequest&& aRequest) override;
  void Cancel(LinkId aLink, const CancelStatement& aCancel) override;
  void CloseChannel(LinkId aLink, std::uint64_t aChannel) override;
  void CloseLink(LinkId aLink) override;
  void RecordPing(LinkId aLink, const LinkPing& aPing) override;
  void ApplyDirectory(std::shared_ptr<const Directory> aDirectory) override;
  void ApplyLeases(std::span<const LeaseGrant> aLeases, Instant aHeartbeatSent) override;
  std::vector<OwnerReport> Reports(Instant aNow) override;
  std::vector<ClassService> ServiceByClass() const override;
  void BeginRelease() override;
  bool IsIdle() const override;

private:
  struct OwnedDatabase
  {
    std::unique_ptr<DatabaseOwner> owner;
    std::map<ConnectionId, BackendSocket*> sockets;
    std::map<std::string, BackendMonitor*> monitors;
    std::set<ConnectionId> pausedConnections;
    std::uint64_t rowVersion = 0;
    bool executingActions = false;
  };
  /// A lease that arrived before the directory row of its database.
  struct PendingLease
  {
    LeaseGrant grant;
    Instant sent; ///< When the heartbeat was sent.
  };

  bool IsOwnedHere(const DatabaseRow& aRow) const;
  std::unique_ptr<Scheduler> CreateScheduler() const;
  void AddDatabase(const DatabaseRow& aRow);
  /// Releases a database that this process no longer owns and closes its connections.
  void RemoveDatabase(const std::string& aDatabase);
  /// Keeps one monitor for each slot of the row.
  void UpdateMonitors(OwnedDatabase& aOwned);
  void ExecuteActions(OwnedDatabase& aOwned);
  void ExecuteAction(OwnedDatabase& aOwned, OwnerAction& aAction);
  void OpenSocket(OwnedDatabase& aOwned, const OpenConnection& aAction);
  void CloseSocket(OwnedDatabase& aOwned, ConnectionId aConnection);
  void HandleBackendMessage(OwnedDatabase& aOwned,
                            ConnectionId aConnection,
                            const std::string& aMessage);
  /// Resumes reading from paused connections once the queue of their link has shrunk.
  void ResumePaused(OwnedDatabase& aOwned);
  BackendEndpoint EndpointOf(const OwnedDatabase& aOwned, const std::string& aSlot) const;
  void Tick();
  /// Ticks faster while there is work.
  void AdjustTimer();

  ReplySink& sink;
  OwnerSettings settings;
  ServiceCounters counters;
  std::shared_ptr<const Directory> directory;
  std::vector<ClassTarget> classes;
  std::map<std::string, std::unique_ptr<OwnedDatabase>, std::less<>> owned;
  std::map<std::string, PendingLease> pendingLeases;
  std::map<LinkId, std::int64_t> lastPingUs;
  QTimer timer;
  bool stopping = false;
};

} // namespace oleanderledge
