#include "oleanderledge/replay/TraceReplay.hpp"

#include "oleanderledge/scheduling/scheduling.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <fstream>
#include <limits>
#include <optional>
#include <set>

namespace oleanderledge {

namespace {

/// All integers up to this one (2^53) are exact in JSON numbers.
constexpr std::int64_t kMaxExactInteger = std::int64_t{ 1 } << 53;

std::optional<QJsonObject> ParseLine(const std::string& aLine)
{
  const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(aLine));
  if (!document.isObject()) {
    return std::nullopt;
  }
  return document.object();
}

std::optional<std::int64_t> ReadNumber(const QJsonObject& aObject, const char* aKey)
{
  const std::int64_t number = aObject[QLatin1String(aKey)].toInteger(-1);
  if (number < 0 || number > kMaxExactInteger) {
    return std::nullopt;
  }
  return number;
}

std::string ReadText(const QJsonObject& aObject, const char* aKey)
{
  return aObject[QLatin1String(aKey)].toString().toStdString();
}

class TraceReplay
{
public:
  bool ReadHeader(const QJsonObject& aHeader)
  {
    const auto capacity = ReadNumber(aHeader, "capacity");
    if (!capacity || *capacity < 1 || *capacity > std::numeric_limits<std::uint32_t>::max()) {
      return false;
    }
    std::vector<ClassTarget> rows;
    for (const auto& entry : aHeader[QLatin1String("classes")].toArray()) {
      const QJsonObject row = entry.toObject();
      const std::string name = ReadText(row, "name");
      const auto target = ReadNumber(row, "target_us");
      if (name.empty() || !target || *target == 0 ||
          !this->targets.emplace(name, Duration{ *target }).second) {
        return false;
      }
      this->outcome.classes[name];
      rows.push_back({ name, Duration{ *target } });
    }
    this->scheduler.Configure(rows);
    this->scheduler.SetCapacity(static_cast<std::uint32_t>(*capacity));
    return !rows.empty();
  }

  /// Returns false if the event is damaged.
  bool Apply(const QJsonObject& aEvent, std::size_t aLine)
  {
    const auto time = ReadNumber(aEvent, "time_us");
    if (!time || FromMicroseconds(*time) < this->now) {
      return false;
    }
    this->now = FromMicroseconds(*time);
    this->line = aLine;
    const std::string kind = ReadText(aEvent, "event");
    if (kind == "dispatch") {
      this->Dispatch();
      return true;
    }
    if (kind == "tick") {
      this->Tick();
      return true;
    }
    const auto id = ReadNumber(aEvent, "id");
    if (!id) {
      return false;
    }
    if (kind == "enqueue") {
      return this->Enqueue(aEvent, static_cast<std::uint64_t>(*id));
    }
    if (kind == "complete") {
      return this->Complete(aEvent, static_cast<std::uint64_t>(*id));
    }
    if (kind == "gone") {
      return this->CallerGone(static_cast<std::uint64_t>(*id));
    }
    return false;
  }

  ReplayOutcome outcome;

private:
  bool Enqueue(const QJsonObject& aEvent, std::uint64_t aId)
  {
    const auto deadline = ReadNumber(aEvent, "deadline_us");
    ScheduledUnit unit;
    unit.id = aId;
    unit.workClass = ReadText(aEvent, "class");
    unit.caller = ReadText(aEvent, "caller");
    const auto target = this->targets.find(unit.workClass);
    if (!deadline || target == this->targets.end() || this->units.contains(aId)) {
      return false;
    }
    unit.arrival = FromMicroseconds(*deadline) - target->second;
    if (unit.arrival > this->now) {
      return false;
    }
    this->units[aId] = unit;
    if (const auto refusal = this->scheduler.Admit(unit, this->now)) {
      this->RecordRefusal(refusal->id, refusal->code);
    }
    return true;
  }

  void Dispatch()
  {
    const auto id = this->scheduler.TakeNext(this->now, [](std::uint64_t) { return true; });
    if (id) {
      this->running.insert(*id);
      this->outcome.decisions.push_back({ this->line, *id, ResultCode::Ok });
    }
  }

  void Tick()
  {
    std::vector<Refusal> refusals = this->scheduler.TakeExpired(this->now);
    // The scheduler returns them in the order of a hash table, which differs between standard
    // libraries.
    std::sort(refusals.begin(), refusals.end(), [](const Refusal& aLeft, const Refusal& aRight) {
      return aLeft.id < aRight.id;
    });
    for (const Refusal& refusal : refusals) {
      this->RecordRefusal(refusal.id, refusal.code);
    }
  }

  bool Complete(const QJsonObject& aEvent, std::uint64_t aId)
  {
    const auto service = ReadNumber(aEvent, "service_us");
    const auto found = this->units.find(aId);
    if (!service || found == this->units.end()) {
      return false;
    }
    if (this->running.erase(aId) == 0) {
      return true;
    }
    const ScheduledUnit& unit = found->second;
    this->scheduler.RecordServiceTime(unit.workClass, unit.caller, Duration{ *service });
    ReplayClassOutcome& counts = this->outcome.classes[unit.workClass];
    ++counts.served;
    if (this->now - unit.arrival <= this->targets[unit.workClass]) {
      ++counts.servedInTarget;
    }
    return true;
  }

  bool CallerGone(std::uint64_t aId)
  {
    if (!this->units.contains(aId)) {
      return false;
    }
    if (this->scheduler.Remove(aId)) {
      this->RecordRefusal(aId, ResultCode::CallerGone);
    }
    return true;
  }

  void RecordRefusal(std::uint64_t aId, ResultCode aCode)
  {
    ++this->outcome.classes[this->units[aId].workClass].refused[aCode];
    this->outcome.decisions.push_back({ this->line, aId, aCode });
  }

  DeadlineScheduler scheduler;
  std::map<std::string, Duration> targets;
  std::map<std::uint64_t, ScheduledUnit> units;
  std::set<std::uint64_t> running;
  Instant now{};
  std::size_t line = 0;
};

} // namespace

Result<ReplayOutcome> ReplayTrace(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return Fail(ResultCode::MalformedFrame, aPath + ": cannot be opened, expected a trace");
  }
  TraceReplay replay;
  std::size_t number = 0;
  for (std::string line; std::getline(file, line);) {
    ++number;
    const auto object = ParseLine(line);
    const bool valid =
      object && (number == 1 ? replay.ReadHeader(*object) : replay.Apply(*object, number));
    if (!valid) {
      return Fail(ResultCode::MalformedFrame,
                  aPath + ":" + std::to_string(number) + ": expected a trace " +
                    (number == 1 ? "header" : "event in order of time"));
    }
  }
  if (number == 0) {
    return Fail(ResultCode::MalformedFrame, aPath + ":1: expected a trace header");
  }
  return std::move(replay.outcome);
}

} // namespace oleanderledge
