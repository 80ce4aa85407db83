#pragma once

#include "oleanderledge/entry/EntryService.hpp"
#include "oleanderledge/entry/internal/CallerConnection.hpp"
#include "oleanderledge/entry/internal/Forwarder.hpp"

#include <QObject>
#include <QTcpServer>
#include <QTimer>

#include <deque>
#include <unordered_map>

namespace oleanderledge {

/// Accepts callers and runs their sessions and the forwarder in one thread.
class CallerServer
  : public QObject
  , public EntryService
  , public OwnerLinksListener
  , private CallerConnectionEvents
{
  Q_OBJECT

public:
  CallerServer(const EntrySettings& aSettings, OwnerLinks& aLinks, QObject* aParent);
  ~CallerServer() override;

  /// Opens the callers' port. Fails with ListenFailed.
  Result<void> Listen();

  void ApplyDirectory(std::shared_ptr<const Directory> aDirectory) override;
  void BeginStop() override;
  bool IsIdle() const override;
  std::size_t SessionCount() const override { return this->cancelKeys.size(); }
  std::size_t WaitingUnits() const override { return this->forwarder.WaitingUnits(); }
  const EntryCounters& Counters() const override;
  std::uint16_t CallersPort() const override { return this->server.serverPort(); }

  void OnLinkReady(const std::string& aAddress) override;
  void OnLinkClosed(const std::string& aAddress) override;
  void OnLinkReply(const std::string& aAddress, StatementReply&& aReply) override;
  void OnLinksDestroyed() override { this->links = nullptr; }

private:
  /// The channel that a cancel request refers to, and the secret that authorises the request.
  struct CancelKey
  {
    std::uint64_t channel = 0;
    std::uint32_t secret = 0;
  };

  Result<CancelRequest> OnSessionStart(CallerConnection& aConnection,
                                       const std::string& aDatabase) override;
  const Directory* CurrentDirectory() const override { return this->directory.get(); }
  void OnCancelRequest(const CancelRequest& aRequest) override;
  void OnUnit(ForwardUnit&& aUnit) override;
  void OnOutput(const SessionOutput& aOutput) override;
  void OnDisconnected(CallerConnection& aConnection) override;

  void AcceptPending();
  /// Executes actions in order. Actions that are added during the execution run after them.
  void ExecuteActions(Forwarder::Actions&& aActions);
  void ExecuteAction(ForwardAction&& aAction);
  void ExecuteSend(SendToOwner&& aSend);
  void ArmTimer();

  EntrySettings settings;
  OwnerLinks* links; ///< Null after OnLinksDestroyed().
  std::shared_ptr<const Directory> directory;
  Forwarder forwarder;
  QTcpServer server;
  QTimer timer;
  std::uint64_t nextChannel = 1;
  std::unordered_map<std::uint64_t, CallerConnection*> connections; ///< By channel.
  std::unordered_map<std::uint32_t, CancelKey> cancelKeys;          ///< By process id.
  std::unordered_map<std::uint64_t, std::uint32_t> processIds; ///< Of the cancel keys, by channel.
  std::deque<ForwardAction> pendingActions;
  bool isExecuting = false;
  bool isStopping = false;
  mutable EntryCounters counters;
};

} // namespace oleanderledge
