#include "oleanderledge/statements/internal/ConnectionRelay.hpp"

#include "oleanderledge/statements/internal/RelayedConnection.hpp"

#include <vector>

namespace oleanderledge {

namespace {

/// Requests and uses of one link at a time. A proxy asks for one connection per statement that
/// waits, and a backend server has 78 connections at most.
constexpr std::size_t kMaxUsesPerLink = 1000;
/// Settings in the waiting requests of one link.
constexpr std::size_t kMaxSettingBytesPerLink = std::size_t{ 8 } * 1024 * 1024;
/// Settings and prepared statements of one connection; see ClientLimits for their usual limits.
constexpr std::size_t kMaxStateBytes = std::size_t{ 4 } * 1024 * 1024;
/// A link whose peer leaves so many bytes unread is closed. It is the size of the largest frame.
constexpr std::int64_t kMaxQueuedBytes = kMaxFrameBytes;

std::size_t BytesOf(const std::vector<SessionSetting>& aSettings)
{
  std::size_t bytes = 0;
  for (const SessionSetting& setting : aSettings) {
    bytes += setting.name.size() + setting.value.size();
  }
  return bytes;
}

std::size_t BytesOf(const ConnectionState& aState)
{
  std::size_t bytes = BytesOf(aState.settings);
  for (const std::string& name : aState.prepared) {
    bytes += name.size();
  }
  return bytes;
}

} // namespace

ConnectionRelay::ConnectionRelay(const StatementProtocol& aProtocol,
                                 DispatcherLookup aLookup,
                                 QObject* aParent)
  : QObject(aParent)
  , protocol(aProtocol)
  , lookup(std::move(aLookup))
{
}

ConnectionRelay::~ConnectionRelay() = default;

void ConnectionRelay::AcceptLink(LinkConnection* aLink)
{
  aLink->setParent(this);
  QObject::connect(aLink, &LinkConnection::Received, this, [this, aLink](const Message& aMessage) {
    this->HandleReceived(aLink, aMessage);
  });
  QObject::connect(aLink, &LinkConnection::Closed, this, [this, aLink] {
    this->HandleClosed(aLink);
    aLink->deleteLater();
  });
}

void ConnectionRelay::HandleReceived(LinkConnection* aLink, const Message& aMessage)
{
  if (const auto* ping = std::get_if<LinkPing>(&aMessage)) {
    aLink->Send(LinkPong{ ping->sentUs });
  } else if (const auto* open = std::get_if<RelayOpen>(&aMessage)) {
    this->Handle(aLink, *open);
  } else if (const auto* statement = std::get_if<RelayStatement>(&aMessage)) {
    this->Handle(aLink, *statement);
  } else if (const auto* close = std::get_if<RelayClose>(&aMessage)) {
    this->Handle(aLink, *close);
  } else {
    WriteLog(LogEvent::PeerLinkRejected,
             "peer=" + aLink->Peer().id + " type=" + std::to_string(aMessage.index()));
    aLink->Close();
  }
}

void ConnectionRelay::Refuse(const ChannelKey& aKey, RelayOutcome aOutcome)
{
  SendTo(aKey.first, RelayOpened{ aKey.second, aOutcome, {} });
}

void ConnectionRelay::SendTo(LinkConnection* aLink, const Message& aMessage)
{
  aLink->Send(aMessage);
  if (aLink->QueuedBytes() > kMaxQueuedBytes) {
    WriteLog(LogEvent::PeerLinkRejected, "peer=" + aLink->Peer().id + " reason=unread_results");
    aLink->Close();
  }
}

bool ConnectionRelay::HasRoomFor(LinkConnection* aLink, std::size_t aSettingBytes) const
{
  std::size_t count = 0;
  std::size_t bytes = aSettingBytes;
  for (auto each = this->uses.lower_bound({ aLink, 0 });
       each != this->uses.end() && each->first.first == aLink;
       ++each) {
    ++count;
    bytes += each->second->settingBytes;
  }
  return count < kMaxUsesPerLink && bytes <= kMaxSettingBytesPerLink;
}

void ConnectionRelay::Handle(LinkConnection* aLink, const RelayOpen& aMessage)
{
  const ChannelKey key(aLink, aMessage.channel);
  if (!this->HasRoomFor(aLink, BytesOf(aMessage.settings))) {
    Refuse(key, RelayOutcome::NoConnection);
    return;
  }
  ServiceDispatcher* dispatcher = this->isStopping ? nullptr : this->lookup(aMessage.backend);
  if (dispatcher == nullptr || !dispatcher->HoldsConnectionsTo(aMessage.backend) ||
      this->uses.contains(key)) {
    Refuse(key, RelayOutcome::NotServing);
    return;
  }
  auto use = std::make_unique<RelayedUse>();
  use->dispatcher = dispatcher;
  use->ticket = dispatcher->NewTicket();
  use->settingBytes = BytesOf(aMessage.settings);
  for (const SessionSetting& setting : aMessage.settings) {
    use->settings[setting.name] = setting.value;
  }
  PlacementRequest request;
  request.backend = aMessage.backend;
  request.arrivedAt = MonotonicNow();
  request.deadline = request.arrivedAt + Duration{ aMessage.waitUs };
  request.priority = aMessage.priority;
  request.settings = &use->settings;
  request.organisation = aMessage.organisation;
  const ServiceDispatcher::Ticket ticket = use->ticket;
  this->uses[key] = std::move(use);
  dispatcher->RequestConnection(
    ticket,
    std::move(request),
    [this, key](const std::optional<Placement>& aPlacement, const PlacementRefusal& aRefusal) {
      this->HandlePlaced(key, aPlacement, aRefusal.error);
    });
}

void ConnectionRelay::HandlePlaced(const ChannelKey& aKey,
                                   const std::optional<Placement>& aPlacement,
                                   StatementError aError)
{
  if (!aPlacement) {
    this->uses.erase(aKey);
    Refuse(aKey,
           aError == StatementError::Unavailable ? RelayOutcome::Unreachable
                                                 : RelayOutcome::NoConnection);
    return;
  }
  RelayedUse& use = *this->uses.at(aKey);
  use.ticket = 0;
  use.pool = aPlacement->pool;
  use.connection = aPlacement->connection;
  use.connection->SetIdleLossCallback([this, aKey] {
    StatementResult lost;
    lost.lost = true;
    this->HandleResult(aKey, lost);
  });
  ++this->useCount;
  SendTo(aKey.first, RelayOpened{ aKey.second, RelayOutcome::Opened, StateOf(*use.connection) });
}

void ConnectionRelay::Handle(LinkConnection* aLink, const RelayStatement& aMessage)
{
  const ChannelKey key(aLink, aMessage.channel);
  const auto found = this->uses.find(key);
  // The connection may have been lost meanwhile, which the sender has been told.
  if (found == this->uses.end() || found->second->connection == nullptr) {
    return;
  }
  if (found->second->connection->IsBusy()) {
    WriteLog(LogEvent::PeerLinkRejected, "peer=" + aLink->Peer().id + " reason=busy_channel");
    aLink->Close();
    return;
  }
  if (this->refusesStatements) {
    this->RefuseStatement(key, *found->second);
    return;
  }
  found->second->connection->Run(aMessage.request, [this, key](const StatementResult& aResult) {
    this->HandleResult(key, aResult);
  });
}

void ConnectionRelay::RefuseStatement(const ChannelKey& aKey, const RelayedUse& aUse)
{
  const bool inTransaction = aUse.state != TransactionState::Idle;
  const auto error = inTransaction ? StatementError::Aborted : StatementError::Unavailable;
  RelayResult message;
  message.channel = aKey.second;
  message.hasError = true;
  message.error = static_cast<std::uint8_t>(error);
  message.errorText =
    this->protocol.Failure(error, "the proxy that lends the connection is stopping");
  message.transactionState =
    static_cast<std::uint8_t>(inTransaction ? TransactionState::Failed : TransactionState::Idle);
  SendTo(aKey.first, message);
}

void ConnectionRelay::HandleResult(const ChannelKey& aKey, const StatementResult& aResult)
{
  const auto found = this->uses.find(aKey);
  if (found == this->uses.end()) {
    return;
  }
  RelayResult message;
  message.channel = aKey.second;
  message.lost = aResult.lost;
  message.rows = aResult.rows;
  message.completed = aResult.completed;
  if (aResult.error) {
    message.hasError = true;
    message.error = static_cast<std::uint8_t>(aResult.error->error);
    message.errorText = aResult.error->raw;
  }
  message.transactionState = static_cast<std::uint8_t>(aResult.ready.state);
  message.hasPosition = aResult.ready.position.has_value();
  message.position = aResult.ready.position.value_or(LogPosition{});
  if (aResult.lost) {
    this->uses.erase(found);
  } else {
    found->second->state = aResult.ready.state;
    found->second->pool->RecordRelayedResult(aResult, MonotonicNow());
  }
  SendTo(aKey.first, message);
}

void ConnectionRelay::Handle(LinkConnection* aLink, const RelayClose& aMessage)
{
  const auto found = this->uses.find({ aLink, aMessage.channel });
  if (found == this->uses.end()) {
    return;
  }
  const std::unique_ptr<RelayedUse> use = std::move(found->second);
  this->uses.erase(found);
  if (use->connection == nullptr) {
    use->dispatcher->Cancel(use->ticket);
    return;
  }
  if (use->connection->IsBusy() ||
      (aMessage.isChanged && BytesOf(aMessage.state) > kMaxStateBytes)) {
    // The sender has given up waiting for the answer, or the connection holds too much.
    use->pool->Drop(use->connection, false);
    return;
  }
  if (aMessage.isChanged) {
    ApplyState(aMessage.state, *use->connection);
  }
  use->pool->Release(use->connection, use->state != TransactionState::Idle);
}

void ConnectionRelay::HandleClosed(LinkConnection* aLink)
{
  std::vector<std::unique_ptr<RelayedUse>> ended;
  for (auto each = this->uses.lower_bound({ aLink, 0 });
       each != this->uses.end() && each->first.first == aLink;) {
    ended.push_back(std::move(each->second));
    each = this->uses.erase(each);
  }
  for (const auto& use : ended) {
    this->ReleaseOrphaned(*use);
  }
}

void ConnectionRelay::ReleaseOrphaned(RelayedUse& aUse)
{
  if (aUse.connection == nullptr) {
    aUse.dispatcher->Cancel(aUse.ticket);
    return;
  }
  // The settings that the proxy made on the connection are unknown.
  aUse.connection->settingsKnown = false;
  if (aUse.connection->IsBusy()) {
    aUse.pool->ReleaseAfterStatement(aUse.connection);
  } else {
    aUse.pool->Release(aUse.connection, aUse.state != TransactionState::Idle);
  }
}

} // namespace oleanderledge
