#include "DatabaseSlot.hpp"

#include <QJsonArray>

#include <utility>

namespace oleanderledge::stand_in {

DatabaseSlot::DatabaseSlot(SlotSettings aSettings, QObject* aParent)
  : QObject(aParent)
  , context{ std::move(aSettings) }
  , clients(this->context, nullptr)
  , replicationServer(this->context, nullptr)
  , replication(this->context, nullptr)
  , announcer(this->context, nullptr)
{
  QObject::connect(&this->context.store, &SlotStore::RoleChanged, this, &DatabaseSlot::RoleChanged);
}

DatabaseSlot::~DatabaseSlot()
{
  // Sessions must roll back before the store is destroyed.
  this->clients.Stop();
}

bool DatabaseSlot::Start()
{
  if (!this->clients.Listen() || !this->replicationServer.Listen()) {
    return false;
  }
  this->replication.Start();
  this->announcer.Start(ToString(this->clients.Address()));
  return true;
}

void DatabaseSlot::Freeze()
{
  this->context.frozen = true;
  this->announcer.Stop();
  this->replication.Stop();
  this->replicationServer.Stop();
}

void DatabaseSlot::Thaw()
{
  if (!this->context.frozen) {
    return;
  }
  this->context.frozen = false;
  // Sessions resume before replication does, as on a server that has not yet learned of a newer
  // primary.
  this->clients.Thaw();
  this->Heal();
}

void DatabaseSlot::Cut(CutScope aScope)
{
  const auto covers = [aScope](CutScope aPart) {
    return aScope == CutScope::All || aScope == aPart;
  };
  if (covers(CutScope::Clients)) {
    this->clients.Stop();
  }
  if (covers(CutScope::Replication)) {
    this->replication.Stop();
    this->replicationServer.Stop();
  }
  if (covers(CutScope::Announcements)) {
    this->announcer.Stop();
  }
}

void DatabaseSlot::Heal()
{
  if (!this->context.frozen) {
    this->Start();
  }
}

QJsonObject DatabaseSlot::Dump()
{
  const SlotStore& store = this->context.store;
  SqliteDatabase& database = this->context.store.Committed();
  QJsonObject tables;
  const StatementResult names = database.Execute(
    "SELECT name FROM sqlite_master WHERE type = 'table' AND name NOT LIKE 'sqlite_%'");
  for (const auto& name : names.rows) {
    const std::string table = name.front().value_or("");
    const StatementResult content = database.Execute("SELECT * FROM \"" + table + "\"");
    QJsonArray rows;
    for (const auto& row : content.rows) {
      QJsonObject object;
      for (std::size_t column = 0; column < row.size(); ++column) {
        object.insert(QString::fromStdString(content.columns[column]),
                      row[column] ? QJsonValue(QString::fromStdString(*row[column]))
                                  : QJsonValue());
      }
      rows.append(object);
    }
    tables.insert(QString::fromStdString(table), rows);
  }
  return { { "database", QString::fromStdString(this->context.settings.database) },
           { "slot", QString::fromStdString(this->context.settings.slot) },
           { "role", store.IsPrimary() ? "primary" : "replica" },
           { "term", static_cast<qint64>(store.Term()) },
           { "received", static_cast<qint64>(store.Received()) },
           { "applied", static_cast<qint64>(store.Applied()) },
           { "tables", tables } };
}

void DatabaseSlot::RoleChanged()
{
  const bool isPrimary = this->context.store.IsPrimary();
  if (this->wasPrimary && !isPrimary) {
    this->clients.CloseSessions("57P01", "this server is no longer the primary");
  }
  this->wasPrimary = isPrimary;
}

} // namespace oleanderledge::stand_in
