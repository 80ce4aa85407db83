#include "oleanderledge/report/MetricsSample.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace oleanderledge {

namespace {

QJsonValue ToJson(std::uint64_t aNumber)
{
  return static_cast<qint64>(aNumber);
}

std::uint64_t ToUnsigned(const QJsonValue& aValue)
{
  return static_cast<std::uint64_t>(std::max<qint64>(0, aValue.toInteger()));
}

QJsonObject ToJson(const ClassCounters& aCounters)
{
  return { { "target_ms", static_cast<qint64>(aCounters.targetMs) },
           { "served", ToJson(aCounters.served) },
           { "in_target", ToJson(aCounters.servedInTarget) },
           { "refused", ToJson(aCounters.refused) } };
}

QJsonObject ToJson(const FailoverRecord& aRecord)
{
  return { { "database", QString::fromStdString(aRecord.database) },
           { "time", static_cast<qint64>(aRecord.time) },
           { "detect_ms", static_cast<qint64>(aRecord.detectMs) },
           { "lease_ms", static_cast<qint64>(aRecord.leaseMs) },
           { "promote_ms", static_cast<qint64>(aRecord.promoteMs) },
           { "publish_ms", static_cast<qint64>(aRecord.publishMs) } };
}

FailoverRecord ToFailover(const QJsonObject& aObject)
{
  return { aObject["database"].toString().toStdString(),
           aObject["time"].toInteger(),
           aObject["detect_ms"].toInteger(),
           aObject["lease_ms"].toInteger(),
           aObject["promote_ms"].toInteger(),
           aObject["publish_ms"].toInteger() };
}

} // namespace

std::string EncodeSample(const MetricsSample& aSample)
{
  QJsonObject classes;
  for (const auto& [name, counters] : aSample.classes) {
    classes[QString::fromStdString(name)] = ToJson(counters);
  }
  QJsonObject refusals;
  for (const auto& [code, count] : aSample.refusals) {
    refusals[QString::number(code)] = ToJson(count);
  }
  QJsonArray failovers;
  for (const FailoverRecord& record : aSample.failovers) {
    failovers.append(ToJson(record));
  }
  const QJsonObject object{
    { "time", static_cast<qint64>(aSample.time) },
    { "instance", QString::fromStdString(aSample.instance) },
    // A string, because JSON numbers do not represent all 64-bit values exactly.
    { "incarnation", QString::number(aSample.incarnation) },
    { "classes", classes },
    { "refusals", refusals },
    { "replica_reads", ToJson(aSample.replicaReads) },
    { "primary_reads", ToJson(aSample.primaryReads) },
    { "failovers", failovers },
  };
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

Result<MetricsSample> DecodeSample(std::string_view aLine)
{
  const QJsonDocument document =
    QJsonDocument::fromJson(QByteArray(aLine.data(), static_cast<qsizetype>(aLine.size())));
  const QJsonObject object = document.object();
  if (!object["time"].isDouble() || !object["instance"].isString()) {
    return Fail(ResultCode::MalformedFrame, "a metrics line needs time and instance");
  }
  MetricsSample sample;
  sample.time = object["time"].toInteger();
  sample.instance = object["instance"].toString().toStdString();
  sample.incarnation = object["incarnation"].toString().toULongLong();
  const QJsonObject classes = object["classes"].toObject();
  for (auto entry = classes.begin(); entry != classes.end(); ++entry) {
    const QJsonObject counters = entry.value().toObject();
    sample.classes[entry.key().toStdString()] = { counters["target_ms"].toInteger(),
                                                  ToUnsigned(counters["served"]),
                                                  ToUnsigned(counters["in_target"]),
                                                  ToUnsigned(counters["refused"]) };
  }
  const QJsonObject refusals = object["refusals"].toObject();
  for (auto entry = refusals.begin(); entry != refusals.end(); ++entry) {
    sample.refusals[entry.key().toUShort()] = ToUnsigned(entry.value());
  }
  sample.replicaReads = ToUnsigned(object["replica_reads"]);
  sample.primaryReads = ToUnsigned(object["primary_reads"]);
  for (const auto& record : object["failovers"].toArray()) {
    sample.failovers.push_back(ToFailover(record.toObject()));
  }
  return sample;
}

} // namespace oleanderledge
