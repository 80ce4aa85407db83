#include "oleanderledge/cli/internal/StatusScreen.hpp"

#include <QDateTime>
#include <QJsonArray>

#include <cstdio>
#include <map>

namespace oleanderledge {

namespace {

std::string FieldText(const QJsonObject& aObject, const char* aKey)
{
  const QJsonValue value = aObject.value(QLatin1String(aKey));
  return value.isDouble() ? std::to_string(value.toInteger()) : value.toString().toStdString();
}

template<class... Arguments>
std::string Format(const char* aFormat, Arguments... aArguments)
{
  char line[512];
  std::snprintf(line, sizeof line, aFormat, aArguments...);
  return line;
}

std::string Join(const QJsonArray& aList)
{
  std::string text;
  for (const auto& element : aList) {
    text += (text.empty() ? "" : ",") + element.toString().toStdString();
  }
  return text;
}

std::string Highlight(const std::string& aText, bool aIsAbnormal, bool aColour)
{
  return aIsAbnormal && aColour ? "\x1b[31m" + aText + "\x1b[0m" : aText;
}

std::string FormatInstances(const QJsonArray& aInstances, bool aColour)
{
  std::string text =
    Format("%-22s %-8s %-30s %-22s %-9s\n", "INSTANCE", "ROLE", "ZONE", "HTTP", "HEALTH");
  for (const auto& element : aInstances) {
    const QJsonObject instance = element.toObject();
    const std::string health = FieldText(instance, "health");
    text += Format("%-22s %-8s %-30s %-22s ",
                   FieldText(instance, "id").c_str(),
                   FieldText(instance, "role").c_str(),
                   FieldText(instance, "zone").c_str(),
                   FieldText(instance, "http").c_str());
    text += Highlight(health, health != "alive", aColour) + "\n";
  }
  return text;
}

/// Difference between the highest and the lowest received offset of the slots; 0 if there are none.
std::int64_t ReplicationLag(const QJsonArray& aSlots)
{
  std::int64_t lowest = -1;
  std::int64_t highest = 0;
  for (const auto& element : aSlots) {
    const std::int64_t received = element.toObject()["received"].toInteger();
    lowest = lowest < 0 ? received : std::min(lowest, received);
    highest = std::max(highest, received);
  }
  return highest - std::max<std::int64_t>(lowest, 0);
}

std::string FormatDatabases(const QJsonArray& aDatabases, bool aColour)
{
  std::string text = Format("%-16s %5s %-14s %-28s %6s %5s %-22s %s\n",
                            "DATABASE",
                            "TERM",
                            "PRIMARY",
                            "IN SYNC",
                            "LAG",
                            "CONNS",
                            "OWNER",
                            "PHASE");
  for (const auto& element : aDatabases) {
    const QJsonObject database = element.toObject();
    const std::string phase = FieldText(database, "phase");
    text += Format("%-16s %5s %-14s %-28s %6lld %5s %-22s ",
                   FieldText(database, "name").c_str(),
                   FieldText(database, "term").c_str(),
                   FieldText(database, "primary").c_str(),
                   Join(database["in_sync"].toArray()).c_str(),
                   static_cast<long long>(ReplicationLag(database["slots"].toArray())),
                   FieldText(database, "connection_limit").c_str(),
                   FieldText(database, "owner").c_str());
    text += Highlight(phase, phase != "steady", aColour) + "\n";
  }
  return text;
}

/// Requests in target and in total by class, summed over the instances.
std::map<std::string, std::pair<std::int64_t, std::int64_t>> SumServiceByClass(
  const QJsonArray& aInstances)
{
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> sums;
  for (const auto& element : aInstances) {
    for (const auto& entry : element.toObject()["service"].toArray()) {
      const QJsonObject service = entry.toObject();
      auto& [inTarget, total] = sums[FieldText(service, "class")];
      inTarget += service["served_in_target"].toInteger();
      total += service["served"].toInteger() + service["refused"].toInteger();
    }
  }
  return sums;
}

} // namespace

std::string FormatClasses(const QJsonObject& aClasses)
{
  std::string text = "configuration version " + FieldText(aClasses, "version") + "\n";
  text += Format("%-24s %12s %8s\n", "CLASS", "TARGET (ms)", "VERSION");
  for (const auto& element : aClasses["classes"].toArray()) {
    const QJsonObject row = element.toObject();
    text += Format("%-24s %12s %8s\n",
                   FieldText(row, "name").c_str(),
                   FieldText(row, "target_ms").c_str(),
                   FieldText(row, "version").c_str());
  }
  return text;
}

std::string FormatHistory(const QJsonObject& aHistory)
{
  std::string text = Format(
    "%8s %-20s %-8s %-24s %12s\n", "VERSION", "TIME (UTC)", "ACTION", "CLASS", "TARGET (ms)");
  for (const auto& element : aHistory["history"].toArray()) {
    const QJsonObject row = element.toObject();
    const QDateTime time = QDateTime::fromMSecsSinceEpoch(row["at_unix_ms"].toInteger(), Qt::UTC);
    text += Format("%8s %-20s %-8s %-24s %12s\n",
                   FieldText(row, "version").c_str(),
                   time.toString("yyyy-MM-dd HH:mm:ss").toStdString().c_str(),
                   FieldText(row, "action").c_str(),
                   FieldText(row, "name").c_str(),
                   FieldText(row, "target_ms").c_str());
  }
  return text;
}

std::string FormatStatus(const QJsonObject& aStatus, const QJsonObject& aClasses, bool aColour)
{
  std::string text = FormatInstances(aStatus["instances"].toArray(), aColour);
  text += "\n" + FormatDatabases(aStatus["databases"].toArray(), aColour);
  text += Format("\n%-24s %12s %10s\n", "CLASS", "TARGET (ms)", "IN TARGET");
  const auto service = SumServiceByClass(aStatus["instances"].toArray());
  for (const auto& element : aClasses["classes"].toArray()) {
    const QJsonObject row = element.toObject();
    const auto found = service.find(FieldText(row, "name"));
    const bool hasRequests = found != service.end() && found->second.second > 0;
    const double share = hasRequests ? 100.0 * static_cast<double>(found->second.first) /
                                         static_cast<double>(found->second.second)
                                     : 0.0;
    text +=
      Format("%-24s %12s ", FieldText(row, "name").c_str(), FieldText(row, "target_ms").c_str());
    text += hasRequests ? Format("%9.2f%%\n", share) : Format("%10s\n", "no work");
  }
  const QJsonObject inForce = aStatus["in_force"].toObject();
  text += "\nconfiguration version " + FieldText(aStatus, "config_version") + ": ";
  text += inForce["everywhere"].toBool() ? "in force on every live proxy\n"
                                         : "behind: " + Join(inForce["behind"].toArray()) + "\n";
  return text;
}

} // namespace oleanderledge
