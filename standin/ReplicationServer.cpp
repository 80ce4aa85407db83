#include "ReplicationServer.hpp"

#include <QByteArray>
#include <QString>

namespace oleanderledge::stand_in {

namespace {

constexpr int kStatusIntervalMs = 100;

} // namespace

ReplicationServer::ReplicationServer(SlotContext& aContext, QObject* aParent)
  : QObject(aParent)
  , context(aContext)
  , address(ParseAddress(aContext.settings.replicationAddress))
{
  QObject::connect(
    &this->server, &QTcpServer::newConnection, this, &ReplicationServer::AcceptPending);
  QObject::connect(
    &this->context.store, &SlotStore::RecordCommitted, this, &ReplicationServer::SendRecord);
  QObject::connect(&this->context.store, &SlotStore::RoleChanged, this, [this] {
    for (auto& [peer, follower] : this->followers) {
      // Peers that followed an earlier term must send a new request.
      follower.following = false;
    }
    this->SendStatusToAll();
  });
  QObject::connect(&this->statusTimer, &QTimer::timeout, this, &ReplicationServer::SendStatusToAll);
}

bool ReplicationServer::Listen()
{
  if (this->server.isListening()) {
    return true;
  }
  if (!this->server.listen(this->address.host, this->address.port)) {
    return false;
  }
  this->address.port = this->server.serverPort();
  this->statusTimer.start(kStatusIntervalMs);
  return true;
}

void ReplicationServer::Stop()
{
  this->server.close();
  this->statusTimer.stop();
  for (const auto& [peer, follower] : this->followers) {
    peer->Abort();
    peer->deleteLater();
  }
  this->followers.clear();
}

void ReplicationServer::AcceptPending()
{
  while (QTcpSocket* socket = this->server.nextPendingConnection()) {
    auto* peer = new JsonSocket(socket, this);
    this->followers.emplace(peer, Follower{});
    QObject::connect(peer, &JsonSocket::Received, this, [this, peer](const QJsonObject& aMessage) {
      this->HandleMessage(peer, aMessage);
    });
    QObject::connect(peer, &JsonSocket::Closed, this, [this, peer] {
      this->followers.erase(peer);
      peer->deleteLater();
    });
    peer->Send(this->StatusMessage());
  }
}

void ReplicationServer::HandleMessage(JsonSocket* aPeer, const QJsonObject& aMessage)
{
  const SlotStore& store = this->context.store;
  const auto found = this->followers.find(aPeer);
  if (aMessage["type"].toString() != "follow" || !store.IsPrimary() ||
      found == this->followers.end()) {
    return;
  }
  found->second.following = true;
  const auto position = static_cast<std::uint64_t>(aMessage["position"].toInteger());
  const auto positionTerm = static_cast<std::uint64_t>(aMessage["position_term"].toInteger());
  if (store.TermAt(position) != positionTerm) {
    // The replica has records that this log does not contain, or needs records that were trimmed.
    aPeer->Send(
      { { "type", "copy" },
        { "term", static_cast<qint64>(store.Term()) },
        { "position", static_cast<qint64>(store.Received()) },
        { "position_term", static_cast<qint64>(*store.TermAt(store.Received())) },
        { "data", QString::fromLatin1(QByteArray::fromStdString(store.Copy()).toBase64()) } });
    return;
  }
  aPeer->Send({ { "type", "accepted" }, { "term", static_cast<qint64>(store.Term()) } });
  for (const LogRecord& record : store.RecordsAfter(position)) {
    aPeer->Send(ToJson(record));
  }
}

void ReplicationServer::SendStatusToAll()
{
  const QJsonObject status = this->StatusMessage();
  for (const auto& [peer, follower] : this->followers) {
    peer->Send(status);
  }
}

void ReplicationServer::SendRecord(const LogRecord& aRecord)
{
  const QJsonObject message = ToJson(aRecord);
  for (const auto& [peer, follower] : this->followers) {
    if (follower.following) {
      peer->Send(message);
    }
  }
}

QJsonObject ReplicationServer::StatusMessage() const
{
  const SlotStore& store = this->context.store;
  return { { "type", "status" },
           { "role", store.IsPrimary() ? "primary" : "replica" },
           { "term", static_cast<qint64>(store.Term()) },
           { "received", static_cast<qint64>(store.Received()) } };
}

} // namespace oleanderledge::stand_in
