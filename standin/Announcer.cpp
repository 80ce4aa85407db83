#include "Announcer.hpp"

#include <QDateTime>
#include <QJsonDocument>
#include <QJsonObject>
#include <QRandomGenerator>

namespace oleanderledge::stand_in {

namespace {

/// Number that distinguishes the restarts of a slot: the wall clock in ms followed by three random
/// digits. Stays below 2^53, so that a JSON number holds it exactly.
std::uint64_t NewIncarnation()
{
  return static_cast<std::uint64_t>(QDateTime::currentMSecsSinceEpoch()) * 1000 +
         QRandomGenerator::global()->bounded(1000U);
}

} // namespace

Announcer::Announcer(SlotContext& aContext, QObject* aParent)
  : QObject(aParent)
  , context(aContext)
  , incarnation(NewIncarnation())
{
  for (const std::string& address : aContext.settings.announce) {
    this->senders.push_back(new AnnouncementSender(address, this));
  }
  this->timer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->timer, &QTimer::timeout, this, &Announcer::Announce);
}

void Announcer::Start(const std::string& aClientAddress)
{
  this->clientAddress = aClientAddress;
  if (this->context.settings.announceIntervalMs <= 0 || this->senders.empty()) {
    return;
  }
  this->timer.start(this->context.settings.announceIntervalMs);
  this->Announce();
}

void Announcer::Stop()
{
  this->timer.stop();
  for (AnnouncementSender* sender : this->senders) {
    sender->Stop();
  }
}

void Announcer::Announce()
{
  const QByteArray announcement = this->BuildAnnouncement();
  for (AnnouncementSender* sender : this->senders) {
    sender->Post(announcement);
  }
}

QByteArray Announcer::BuildAnnouncement()
{
  const SlotSettings& settings = this->context.settings;
  const SlotStore& store = this->context.store;
  const auto text = [](const std::string& aText) { return QString::fromStdString(aText); };
  const QJsonObject json{ { "service", text(settings.service) },
                          { "database", text(settings.database) },
                          { "slot", text(settings.slot) },
                          { "zone", text(settings.zone) },
                          { "address", text(this->clientAddress) },
                          { "role", store.IsPrimary() ? "primary" : "replica" },
                          { "term", static_cast<qint64>(store.Term()) },
                          { "received", static_cast<qint64>(store.Received()) },
                          { "applied", static_cast<qint64>(store.Applied()) },
                          { "connection_limit", settings.connectionLimit },
                          { "departing", this->context.departing },
                          { "incarnation", static_cast<qint64>(this->incarnation) },
                          { "sequence", static_cast<qint64>(++this->sequence) } };
  return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

} // namespace oleanderledge::stand_in
