#include "oleanderledge/control/internal/ControlJson.hpp"

#include <QJsonArray>
#include <QJsonDocument>

#include <chrono>

namespace oleanderledge {

namespace {

const char* PhaseName(PrimaryPhase aPhase)
{
  switch (aPhase) {
    case PrimaryPhase::Promoting:
      return "promoting";
    case PrimaryPhase::Closing:
      return "closing";
    case PrimaryPhase::Steady:
      break;
  }
  return "steady";
}

/// Longest name in an announcement.
constexpr std::size_t kMaxNameBytes = 255;
constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpUnprocessable = 422;
constexpr int kHttpUnavailable = 503;

QJsonValue NumberToJson(std::uint64_t aNumber)
{
  return static_cast<qint64>(aNumber);
}

QString ToQString(std::string_view aText)
{
  return QString::fromUtf8(aText.data(), static_cast<qsizetype>(aText.size()));
}

std::string StringValue(const QJsonObject& aObject, const char* aKey)
{
  return aObject.value(QLatin1String(aKey)).toString().toStdString();
}

/// Reads a number that may be written as a string, because some JSON writers lose digits of numbers
/// above 2^53. A missing key reads as zero. Returns false if the value is malformed.
bool ReadNumber(const QJsonObject& aObject, const char* aKey, std::uint64_t& aNumber)
{
  const QJsonValue value = aObject.value(QLatin1String(aKey));
  bool isValid = true;
  if (value.isString()) {
    aNumber = value.toString().toULongLong(&isValid);
    return isValid;
  }
  if (!value.isDouble()) {
    aNumber = 0;
    return value.isUndefined() || value.isNull();
  }
  const qint64 number = value.toInteger(-1);
  aNumber = number < 0 ? 0 : static_cast<std::uint64_t>(number);
  return number >= 0;
}

Result<Announcement> ParseAnnouncement(const QJsonObject& aObject)
{
  Announcement announcement;
  announcement.service = StringValue(aObject, "service");
  announcement.database = StringValue(aObject, "database");
  announcement.slot = StringValue(aObject, "slot");
  announcement.zone = StringValue(aObject, "zone");
  announcement.address = StringValue(aObject, "address");
  const std::string role = StringValue(aObject, "role");
  announcement.isPrimary = role == "primary";
  announcement.departing = aObject.value(QLatin1String("departing")).toBool();
  std::uint64_t limit = 0;
  const auto isTooLong = [](const std::string& aText) { return aText.size() > kMaxNameBytes; };
  if (isTooLong(announcement.service) || isTooLong(announcement.database) ||
      isTooLong(announcement.slot) || isTooLong(announcement.zone) ||
      isTooLong(announcement.address)) {
    return Fail(ResultCode::UsageError, "a name is longer than 255 bytes");
  }
  if (announcement.database.empty() || announcement.slot.empty() ||
      !IsIpAndPort(announcement.address) || (role != "primary" && role != "replica")) {
    return Fail(ResultCode::UsageError,
                "database, slot and IP:PORT as address are required, and role must be primary or "
                "replica");
  }
  if (!ReadNumber(aObject, "term", announcement.term) ||
      !ReadNumber(aObject, "received", announcement.received) ||
      !ReadNumber(aObject, "applied", announcement.applied) ||
      !ReadNumber(aObject, "connection_limit", limit) ||
      !ReadNumber(aObject, "incarnation", announcement.incarnation) ||
      !ReadNumber(aObject, "sequence", announcement.sequence) ||
      !std::in_range<std::uint32_t>(limit)) {
    return Fail(ResultCode::UsageError, "a number is malformed");
  }
  announcement.connectionLimit = static_cast<std::uint32_t>(limit);
  return announcement;
}

QJsonArray ClassRowsToJson(const std::vector<ClassRow>& aRows)
{
  QJsonArray rows;
  for (const ClassRow& row : aRows) {
    QJsonObject object{ { "name", ToQString(row.name) },
                        { "target_ms", static_cast<qint64>(row.targetMs) },
                        { "version", NumberToJson(row.version) } };
    if (row.deleted) {
      object.insert("deleted", true);
    }
    rows.append(object);
  }
  return rows;
}

const char* NameOf(ClassAction aAction)
{
  switch (aAction) {
    case ClassAction::Create:
      return "create";
    case ClassAction::Set:
      return "set";
    case ClassAction::Delete:
      break;
  }
  return "delete";
}

const char* NameOf(FailoverPhase aPhase)
{
  switch (aPhase) {
    case FailoverPhase::Steady:
      return "steady";
    case FailoverPhase::Fencing:
      return "fencing";
    case FailoverPhase::Promoting:
      return "promoting";
    case FailoverPhase::Waiting:
      return "waiting";
    case FailoverPhase::Draining:
      break;
  }
  return "draining";
}

const char* NameOf(InstanceHealth aHealth)
{
  switch (aHealth) {
    case InstanceHealth::Unknown:
      return "unknown";
    case InstanceHealth::Alive:
      return "alive";
    case InstanceHealth::Leaving:
      return "leaving";
    case InstanceHealth::Dead:
      break;
  }
  return "dead";
}

QJsonObject DatabaseToJson(const DatabaseRow& aRow, const AnnouncementMonitor& aSlots)
{
  QJsonArray slotArray;
  for (const SlotRow& slot : aRow.slots) {
    const LogPosition received = aSlots.ReceivedPosition(aRow.name, slot.name);
    slotArray.append(QJsonObject{ { "name", ToQString(slot.name) },
                                  { "zone", ToQString(slot.zone) },
                                  { "address", ToQString(slot.address) },
                                  { "departing", slot.departing },
                                  { "silent", slot.silent },
                                  { "term", NumberToJson(received.term) },
                                  { "received", NumberToJson(received.offset) } });
  }
  QJsonArray inSync;
  for (const std::string& slot : aRow.inSync) {
    inSync.append(ToQString(slot));
  }
  return { { "name", ToQString(aRow.name) },
           { "service", ToQString(aRow.service) },
           { "connection_limit", static_cast<qint64>(aRow.connectionLimit) },
           { "term", NumberToJson(aRow.term) },
           { "primary", ToQString(aRow.primary) },
           { "in_sync", inSync },
           { "owner", ToQString(aRow.owner) },
           { "owner_epoch", NumberToJson(aRow.ownerEpoch) },
           { "phase", NameOf(aRow.phase) },
           { "version", NumberToJson(aRow.version) },
           { "slots", slotArray } };
}

/// The services of registered backend servers.
QJsonArray ServicesToJson(const BackendTable& aTable)
{
  QJsonArray services;
  for (const auto& [name, row] : aTable.Primaries()) {
    QJsonArray servers;
    for (const auto& [id, backend] : aTable.Backends()) {
      if (backend.deleted || backend.service != name) {
        continue;
      }
      servers.append(QJsonObject{ { "name", ToQString(id) },
                                  { "zone", ToQString(backend.zone) },
                                  { "address", ToQString(backend.address) },
                                  { "draining", backend.draining } });
    }
    services.append(QJsonObject{ { "name", ToQString(name) },
                                 { "primary", ToQString(row.backend) },
                                 { "phase", PhaseName(row.phase) },
                                 { "fence", NumberToJson(row.fence) },
                                 { "servers", servers } });
  }
  return services;
}

QJsonArray ClassServiceToJson(const std::vector<ClassService>& aService)
{
  QJsonArray rows;
  for (const ClassService& service : aService) {
    rows.append(QJsonObject{ { "class", ToQString(service.workClass) },
                             { "served", NumberToJson(service.served) },
                             { "served_in_target", NumberToJson(service.servedInTarget) },
                             { "refused", NumberToJson(service.refused) } });
  }
  return rows;
}

} // namespace

Result<std::vector<Announcement>> ParseAnnouncements(const QByteArray& aBody)
{
  const QJsonDocument document = QJsonDocument::fromJson(aBody);
  QJsonArray objects = document.array();
  if (document.isObject()) {
    objects.append(document.object());
  }
  std::vector<Announcement> announcements;
  for (const auto& value : objects) {
    auto announcement = ParseAnnouncement(value.toObject());
    if (!announcement) {
      return Fail(announcement.error().code, announcement.error().message);
    }
    announcements.push_back(std::move(announcement.value()));
  }
  if (announcements.empty()) {
    return Fail(ResultCode::UsageError, "the body is not an announcement");
  }
  return announcements;
}

Result<ChangeClass> ParseClassChange(const QByteArray& aBody)
{
  const QJsonDocument document = QJsonDocument::fromJson(aBody);
  if (!document.isObject()) {
    return Fail(ResultCode::UsageError, "the body is not a JSON object");
  }
  const QJsonObject object = document.object();
  ChangeClass change;
  const std::string action = StringValue(object, "action");
  if (action == "create") {
    change.action = ClassAction::Create;
  } else if (action == "set") {
    change.action = ClassAction::Set;
  } else if (action == "delete") {
    change.action = ClassAction::Delete;
  } else {
    return Fail(ResultCode::UsageError, "action must be create, set or delete");
  }
  change.name = StringValue(object, "name");
  change.requestId = StringValue(object, "request_id");
  std::uint64_t target = 0;
  if (!object.contains("version") || !ReadNumber(object, "version", change.baseVersion) ||
      !ReadNumber(object, "target_ms", target) || !std::in_range<std::int64_t>(target)) {
    return Fail(ResultCode::UsageError,
                "version is required; version and target_ms must be non-negative 64-bit integers");
  }
  if (change.requestId.empty()) {
    return Fail(ResultCode::UsageError, "request_id is missing");
  }
  change.targetMs = static_cast<std::int64_t>(target);
  change.atUnixMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  return change;
}

QJsonObject ErrorToJson(ResultCode aCode, const std::string& aMessage)
{
  const ResultCodeInfo& info = InfoOf(aCode);
  return { { "code", static_cast<int>(aCode) },
           { "name", ToQString(info.name) },
           { "message", ToQString(aMessage.empty() ? std::string(info.text) : aMessage) } };
}

QJsonObject AnswerToJson(const OperatorAnswer& aAnswer)
{
  QJsonObject object = ErrorToJson(aAnswer.code, {});
  object.insert("version", NumberToJson(aAnswer.version));
  object.insert("classes", ClassRowsToJson(aAnswer.classes));
  return object;
}

QJsonObject ClassesToJson(const ClassTable& aClasses)
{
  return { { "version", NumberToJson(aClasses.Version()) },
           { "classes", ClassRowsToJson(aClasses.ActiveClasses()) } };
}

QJsonObject HistoryToJson(const ClassTable& aClasses)
{
  QJsonArray history;
  for (const ConfigChange& change : aClasses.History()) {
    history.append(QJsonObject{ { "version", NumberToJson(change.version) },
                                { "action", NameOf(change.action) },
                                { "name", ToQString(change.name) },
                                { "target_ms", static_cast<qint64>(change.targetMs) },
                                { "request_id", ToQString(change.requestId) },
                                { "at_unix_ms", static_cast<qint64>(change.atUnixMs) } });
  }
  return { { "version", NumberToJson(aClasses.Version()) }, { "history", history } };
}

QJsonObject StatusToJson(const ControlState& aState,
                         const ControlLeader& aLeader,
                         std::uint64_t aVersion,
                         Instant aNow)
{
  QJsonArray instances;
  for (const auto& [id, instance] : aState.Instances()) {
    const InstanceView* view = aLeader.Heartbeats().Find(id);
    QJsonObject object{ { "id", ToQString(id) },
                        { "role", instance.role == InstanceRole::Proxy ? "proxy" : "control" },
                        { "zone", ToQString(instance.zone) },
                        { "link", ToQString(instance.linkAddress) },
                        { "http", ToQString(instance.httpAddress) },
                        { "health",
                          NameOf(aLeader.Heartbeats().HealthOf(id, instance.incarnation, aNow)) } };
    if (view != nullptr) {
      object.insert("directory_version", NumberToJson(view->last.directoryVersion));
      object.insert("service", ClassServiceToJson(view->last.service));
    }
    instances.append(object);
  }
  QJsonArray databases;
  for (const auto& [name, record] : aState.Databases().Records()) {
    databases.append(DatabaseToJson(record.row, aLeader.Slots()));
  }
  QJsonArray behind;
  for (const std::string& id : aLeader.ProxiesBehind(aVersion, aNow)) {
    behind.append(ToQString(id));
  }
  return { { "directory_version", NumberToJson(aState.DirectoryVersion()) },
           { "config_version", NumberToJson(aState.Classes().Version()) },
           { "in_force",
             QJsonObject{ { "version", NumberToJson(aVersion) },
                          { "everywhere", behind.isEmpty() },
                          { "behind", behind } } },
           { "instances", instances },
           { "databases", databases },
           { "services", ServicesToJson(aState.Backends()) } };
}

int HttpStatusOf(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::Ok:
      return kHttpOk;
    case ResultCode::VersionConflict:
    case ResultCode::ClassExists:
      return kHttpConflict;
    case ResultCode::ClassNotFound:
      return kHttpNotFound;
    case ResultCode::RequestIdReused:
      return kHttpUnprocessable;
    case ResultCode::InvalidClass:
    case ResultCode::UsageError:
      return kHttpBadRequest;
    default:
      return kHttpUnavailable;
  }
}

} // namespace oleanderledge
