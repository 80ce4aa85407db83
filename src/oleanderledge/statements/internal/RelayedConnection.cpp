#include "oleanderledge/statements/internal/RelayedConnection.hpp"

namespace oleanderledge {

namespace {

/// Time beyond the wait stated in a request within which the relay must answer it. A round trip
/// between availability zones takes 2 ms, but relays share a small processor.
constexpr Duration kRelayAnswerMargin = std::chrono::milliseconds(100);

} // namespace

ConnectionState StateOf(const BackendConnection& aConnection)
{
  ConnectionState state;
  state.settingsKnown = aConnection.settingsKnown;
  for (const auto& [name, value] : aConnection.settings) {
    state.settings.push_back({ name, value });
  }
  state.prepared.assign(aConnection.prepared.begin(), aConnection.prepared.end());
  return state;
}

void ApplyState(const ConnectionState& aState, BackendConnection& aConnection)
{
  aConnection.settingsKnown = aState.settingsKnown;
  aConnection.settings.clear();
  for (const SessionSetting& setting : aState.settings) {
    aConnection.settings[setting.name] = setting.value;
  }
  aConnection.prepared = { aState.prepared.begin(), aState.prepared.end() };
}

RelayedConnection::RelayedConnection(RelayClient& aClient, std::string aBackend, QObject* aParent)
  : BackendConnection(std::move(aBackend), aParent)
  , client(aClient)
{
  this->openTimer.setSingleShot(true);
  QObject::connect(&this->openTimer, &QTimer::timeout, this, [this] {
    this->client.AvoidRelay(this->relay, MonotonicNow());
    this->EndConnection(ConnectionEnd::RelayFailed, "relay_silent");
  });
}

RelayedConnection::~RelayedConnection()
{
  this->EndChannel();
}

void RelayedConnection::Open(const std::string& aRelay, RelayOpen aRequest)
{
  this->MarkOpening();
  this->relay = aRelay;
  this->openTimer.start(
    std::chrono::ceil<std::chrono::milliseconds>(Duration{ aRequest.waitUs } + kRelayAnswerMargin));
  this->channel = this->client.OpenChannel(aRelay, std::move(aRequest), *this);
}

void RelayedConnection::Send(const std::string& aRequest)
{
  this->client.Send(this->channel, RelayStatement{ this->channel, aRequest });
}

void RelayedConnection::CloseTransport()
{
  if (this->channel != 0) {
    RelayClose close;
    close.channel = this->channel;
    close.isChanged = this->IsOpen() && this->IsChanged();
    if (close.isChanged) {
      close.state = StateOf(*this);
    }
    this->client.Send(this->channel, close);
  }
  this->EndChannel();
}

void RelayedConnection::EndChannel()
{
  this->openTimer.stop();
  this->client.EndChannel(std::exchange(this->channel, 0));
}

bool RelayedConnection::IsChanged() const
{
  return this->settingsKnown != this->settingsKnownAtOpen ||
         this->settings != this->settingsAtOpen || this->prepared != this->preparedAtOpen;
}

void RelayedConnection::OnOpened(const RelayOpened& aMessage)
{
  if (aMessage.outcome == RelayOutcome::Opened) {
    this->openTimer.stop();
    ApplyState(aMessage.state, *this);
    this->settingsAtOpen = this->settings;
    this->preparedAtOpen = this->prepared;
    this->settingsKnownAtOpen = this->settingsKnown;
    this->MarkOpened();
    return;
  }
  this->EndChannel();
  if (aMessage.outcome == RelayOutcome::NotServing) {
    this->client.AvoidRelay(this->relay, MonotonicNow());
  }
  const bool isUnreachable = aMessage.outcome == RelayOutcome::Unreachable;
  this->EndConnection(isUnreachable ? ConnectionEnd::BackendFailed : ConnectionEnd::RelayFailed,
                      "relay_outcome:" + std::to_string(static_cast<int>(aMessage.outcome)));
}

void RelayedConnection::OnResult(const RelayResult& aMessage)
{
  if (aMessage.lost) {
    this->EndChannel();
    this->EndConnection(ConnectionEnd::BackendFailed, "lost_at_relay");
    return;
  }
  const bool isValid =
    this->IsBusy() &&
    aMessage.error <= static_cast<std::uint8_t>(StatementError::Unauthenticated) &&
    aMessage.transactionState <= static_cast<std::uint8_t>(TransactionState::Failed) &&
    (aMessage.hasError || !aMessage.completed.empty());
  if (!isValid) {
    this->EndConnection(ConnectionEnd::RelayFailed, "malformed_result");
    return;
  }
  this->result.rows = aMessage.rows;
  this->result.completed = aMessage.completed;
  if (aMessage.hasError) {
    this->result.error = { static_cast<StatementError>(aMessage.error), aMessage.errorText };
  }
  ReadyAnswer ready;
  ready.state = static_cast<TransactionState>(aMessage.transactionState);
  if (aMessage.hasPosition) {
    ready.position = aMessage.position;
  }
  this->CompleteStatement(ready);
}

void RelayedConnection::OnRelayLost()
{
  this->EndChannel();
  this->EndConnection(ConnectionEnd::RelayFailed, "relay_lost");
}

} // namespace oleanderledge
