#include "LogRecord.hpp"

#include <QJsonArray>
#include <QString>

namespace oleanderledge::stand_in {

QJsonObject ToJson(const LogRecord& aRecord)
{
  QJsonArray statements;
  for (const auto& [sql, parameters] : aRecord.statements) {
    QJsonArray values;
    for (const auto& value : parameters) {
      values.append(value ? QJsonValue(QString::fromStdString(*value)) : QJsonValue());
    }
    statements.append(QJsonArray{ QString::fromStdString(sql), values });
  }
  return { { "type", "record" },
           { "position", static_cast<qint64>(aRecord.position) },
           { "term", static_cast<qint64>(aRecord.term) },
           { "statements", statements } };
}

LogRecord LogRecordFromJson(const QJsonObject& aJson)
{
  LogRecord record;
  record.position = static_cast<std::uint64_t>(aJson["position"].toInteger());
  record.term = static_cast<std::uint64_t>(aJson["term"].toInteger());
  for (const QJsonValue statement : aJson["statements"].toArray()) {
    const QJsonArray pair = statement.toArray();
    Parameters parameters;
    for (const QJsonValue value : pair[1].toArray()) {
      parameters.push_back(value.isNull() ? std::nullopt
                                          : std::optional(value.toString().toStdString()));
    }
    record.statements.emplace_back(pair[0].toString().toStdString(), std::move(parameters));
  }
  return record;
}

} // namespace oleanderledge::stand_in
