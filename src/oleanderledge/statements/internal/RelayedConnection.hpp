#pragma once

#include "oleanderledge/statements/internal/BackendConnection.hpp"
#include "oleanderledge/statements/internal/RelayClient.hpp"

#include <QTimer>

namespace oleanderledge {

/// The use of one connection of a relay.
class RelayedConnection
  : public BackendConnection
  , private RelayChannelListener
{
  Q_OBJECT

public:
  RelayedConnection(RelayClient& aClient, std::string aBackend, QObject* aParent);
  ~RelayedConnection() override;

  /// Asks a relay. `Opened` or `Closed` follows.
  void Open(const std::string& aRelay, RelayOpen aRequest);

  bool IsRelayed() const override { return true; }

private:
  void Send(const std::string& aRequest) override;
  void Release() override;

  void OnOpened(const RelayOpened& aMessage) override;
  void OnResult(const RelayResult& aMessage) override;
  void OnRelayLost() override;

  void EndChannel();
  bool IsChanged() const;

  RelayClient& client;
  std::string relay;
  std::uint64_t channel = 0; ///< 0 once it has ended.
  QTimer openTimer;
  /// As the relay lent the connection.
  SettingMap lentSettings;
  std::set<std::string, std::less<>> lentPrepared;
  bool lentSettingsKnown = true;
};

/// Settings and prepared names of a connection, as they are sent between proxies.
ConnectionState StateOf(const BackendConnection& aConnection);
void ApplyState(const ConnectionState& aState, BackendConnection& aConnection);

} // namespace oleanderledge
