#include "oleanderledge/statements/internal/RelayedConnection.hpp"

namespace oleanderledge {

namespace {

/// A relay answers a request for a connection this long after the wait that the request states;
/// round trips between availability zones take 2 ms, and relays share a small processor.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(100);

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
    this->client.Avoid(this->relay, MonotonicNow());
    this->Finish(ConnectionEnd::RelayFailed, "relay_silent");
  });
}

RelayedConnection::~RelayedConnection()
{
  this->EndChannel();
}

void RelayedConnection::Open(const std::string& aRelay, RelayOpen aRequest)
{
  this->NoteOpening();
  this->relay = aRelay;
  this->openTimer.start(
    std::chrono::ceil<std::chrono::milliseconds>(Duration{ aRequest.waitUs } + kAnswerMargin));
  this->channel = this->client.OpenChannel(aRelay, std::move(aRequest), *this);
}

void RelayedConnection::Send(const std::string& aRequest)
{
  this->client.Send(this->channel, RelayStatement{ this->channel, aRequest });
}

void RelayedConnection::Release()
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
  return this->settingsKnown != this->lentSettingsKnown || this->settings != this->lentSettings ||
         this->prepared != this->lentPrepared;
}

void RelayedConnection::OnOpened(const RelayOpened& aMessage)
{
  if (aMessage.outcome == RelayOutcome::Opened) {
    this->openTimer.stop();
    ApplyState(aMessage.state, *this);
    this->lentSettings = this->settings;
    this->lentPrepared = this->prepared;
    this->lentSettingsKnown = this->settingsKnown;
    this->NoteOpened();
    return;
  }
  this->EndChannel();
  if (aMessage.outcome == RelayOutcome::NotServing) {
    this->client.Avoid(this->relay, MonotonicNow());
  }
  const bool isUnreachable = aMessage.outcome == RelayOutcome::Unreachable;
  this->Finish(isUnreachable ? ConnectionEnd::BackendFailed : ConnectionEnd::RelayFailed,
               "relay_outcome:" + std::to_string(static_cast<int>(aMessage.outcome)));
}

void RelayedConnection::OnResult(const RelayResult& aMessage)
{
  if (aMessage.lost) {
    this->EndChannel();
    this->Finish(ConnectionEnd::BackendFailed, "lost_at_relay");
    return;
  }
  const bool isValid =
    this->IsBusy() && aMessage.error <= static_cast<std::uint8_t>(StatementError::Malformed) &&
    aMessage.transactionState <= static_cast<std::uint8_t>(TransactionState::Failed) &&
    (aMessage.hasError || !aMessage.completed.empty());
  if (!isValid) {
    this->Finish(ConnectionEnd::RelayFailed, "malformed_result");
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
  this->Complete(ready);
}

void RelayedConnection::OnRelayLost()
{
  this->EndChannel();
  this->Finish(ConnectionEnd::RelayFailed, "relay_lost");
}

} // namespace oleanderledge
