#pragma once

#include "oleanderledge/statements/internal/BackendConnection.hpp"
#include "oleanderledge/statements/internal/RelayClient.hpp"

#include <QTimer>

namespace oleanderledge {

/// A connection that is borrowed from a relay for one statement or transaction.
class RelayedConnection
  : public BackendConnection
  , private RelayChannelListener
{
  Q_OBJECT

public:
  RelayedConnection(RelayClient& aClient, std::string aBackend, QObject* aParent);
  ~RelayedConnection() override;

  /// Requests a connection from the relay at link address `aRelay`. `Opened` or `Closed` follows.
  void Open(const std::string& aRelay, RelayOpen aRequest);

  bool IsRelayed() const override { return true; }

private:
  void Send(const std::string& aRequest) override;
  void CloseTransport() override;

  void OnOpened(const RelayOpened& aMessage) override;
  void OnResult(const RelayResult& aMessage) override;
  void OnRelayLost() override;

  void EndChannel();
  /// True if settings or prepared statements differ from those at the opening.
  bool IsChanged() const;

  RelayClient& client;
  std::string relay;
  std::uint64_t channel = 0; ///< 0 once it has ended.
  QTimer openTimer;
  /// State of the connection when the relay lent it.
  SettingMap settingsAtOpen;
  std::set<std::string, std::less<>> preparedAtOpen;
  bool settingsKnownAtOpen = true;
};

/// Settings and prepared statements of a connection, in the form that proxies exchange.
ConnectionState StateOf(const BackendConnection& aConnection);
void ApplyState(const ConnectionState& aState, BackendConnection& aConnection);

} // namespace oleanderledge
