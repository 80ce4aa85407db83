#include "oleanderledge/cli/internal/StatusScreen.hpp"

#include <QDateTime>
#include <QJsonArray>

#include <cstdio>
#include <map>

namespace oleanderledge {

namespace {

std::string Text(const QJsonObject& aObject, const char* aKey)
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

std::string Highlight(const std::string& aText, bool aBad, bool aColour)
{
  return aBad && aColour ? "\x1b[31m" + aText + "\x1b[0m" : aText;
}

std::string FormatInstances(const QJsonArray& aInstances, bool aColour)
{
  std::string text =
    Format("%-22s %-8s %-30s %-22s %-9s\n", "INSTANCE", "ROLE", "ZONE", "HTTP", "HEALTH");
  for (const auto& element : aInstances) {
    const QJsonObject instance = element.toObject();
    const std::string health = Text(instance, "health");
    text += Format("%-22s %-8s %-30s %-22s ",
                   Text(instance, "id").c_str(),
                   Text(instance, "role").c_str(),
                   Text(instance, "zone").c_str(),
                   Text(instance, "http").c_str());
    text += Highlight(health, health != "alive", aColour) + "\n";
  }
  return text;
}

/// Offsets by which the least advanced slot is behind the most advanced one.
std::int64_t LagOf(const QJsonArray& aSlots)
{
  std::int64_t least = -1;
  std::int64_t most = 0;
  for (const auto& element : aSlots) {
    const std::int64_t received = element.toObject()["received"].toInteger();
    least = least < 0 ? received : std::min(least, received);
    most = std::max(most, received);
  }
  return most - std::max<std::int64_t>(least, 0);
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
    const std::string phase = Text(database, "phase");
    text += Format("%-16s %5s %-14s %-28s %6lld %5s %-22s ",
                   Text(database, "name").c_str(),
                   Text(database, "term").c_str(),
                   Text(database, "primary").c_str(),
                   Join(database["in_sync"].toArray()).c_str(),
                   static_cast<long long>(LagOf(database["slots"].toArray())),
                   Text(database, "connection_limit").c_str(),
                   Text(database, "owner").c_str());
    text += Highlight(phase, phase != "steady", aColour) + "\n";
  }
  return text;
}

/// Service by class, added up over the instances.
std::map<std::string, std::pair<std::int64_t, std::int64_t>> SumService(
  const QJsonArray& aInstances)
{
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> sums;
  for (const auto& element : aInstances) {
    for (const auto& entry : element.toObject()["service"].toArray()) {
      const QJsonObject service = entry.toObject();
      auto& [inTarget, total] = sums[Text(service, "class")];
      inTarget += service["served_in_target"].toInteger();
      total += service["served"].toInteger() + service["refused"].toInteger();
    }
  }
  return sums;
}

} // namespace

std::string FormatClasses(const QJsonObject& aClasses)
{
  std::string text = "configuration version " + Text(aClasses, "version") + "\n";
  text += Format("%-24s %12s %8s\n", "CLASS", "TARGET (ms)", "VERSION");
  for (const auto& element : aClasses["classes"].toArray()) {
    const QJsonObject row = element.toObject();
    text += Format("%-24s %12s %8s\n",
                   Text(row, "name").c_str(),
                   Text(row, "target_ms").c_str(),
                   Text(row, "version").c_str());
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
                   Text(row, "version").c_str(),
                   time.toString("yyyy-MM-dd HH:mm:ss").toStdString().c_str(),
                   Text(row, "action").c_str(),
                   Text(row, "name").c_str(),
                   Text(row, "target_ms").c_str());
  }
  return text;
}

std::string FormatStatus(const QJsonObject& aStatus, const QJsonObject& aClasses, bool aColour)
{
  std::string text = FormatInstances(aStatus["instances"].toArray(), aColour);
  text += "\n" + FormatDatabases(aStatus["databases"].toArray(), aColour);
  text += Format("\n%-24s %12s %10s\n", "CLASS", "TARGET (ms)", "IN TARGET");
  const auto service = SumService(aStatus["instances"].toArray());
  for (const auto& element : aClasses["classes"].toArray()) {
    const QJsonObject row = element.toObject();
    const auto found = service.find(Text(row, "name"));
    const bool hasWork = found != service.end() && found->second.second > 0;
    const double share = hasWork ? 100.0 * static_cast<double>(found->second.first) /
                                     static_cast<double>(found->second.second)
                                 : 0.0;
    text += Format("%-24s %12s ", Text(row, "name").c_str(), Text(row, "target_ms").c_str());
    text += hasWork ? Format("%9.2f%%\n", share) : Format("%10s\n", "no work");
  }
  const QJsonObject inForce = aStatus["in_force"].toObject();
  text += "\nconfiguration version " + Text(aStatus, "config_version") + ": ";
  text += inForce["everywhere"].toBool() ? "in force on every live proxy\n"
                                         : "behind: " + Join(inForce["behind"].toArray()) + "\n";
  return text;
}

} // namespace oleanderledge
