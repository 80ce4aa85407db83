#include "oleanderledge/platform/ControlMessages.hpp"

#include <boost/outcome/try.hpp>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <cmath>
#include <limits>
#include <optional>

namespace oleanderledge::platform {

namespace {

/// Largest whole number that JSON numbers carry without loss.
constexpr double kMaxWholeNumber = 9007199254740991.0;

/// Reads typed fields of a JSON object and remembers the first that is missing or of another type.
class FieldReader
{
public:
  explicit FieldReader(const QJsonObject& aObject)
    : object(aObject)
  {
  }

  std::string Text(const char* aName)
  {
    const QJsonValue value = this->object.value(QLatin1String(aName));
    if (!value.isString()) {
      this->Reject(aName);
    }
    return value.toString().toStdString();
  }

  std::uint64_t Number(const char* aName, std::uint64_t aMost)
  {
    return this->Whole(aName, this->object.value(QLatin1String(aName)), aMost);
  }

  /// A number that may be absent.
  std::uint64_t OptionalNumber(const char* aName, std::uint64_t aMost)
  {
    const QJsonValue value = this->object.value(QLatin1String(aName));
    return value.isUndefined() ? 0 : this->Whole(aName, value, aMost);
  }

  QJsonArray Array(const char* aName)
  {
    const QJsonValue value = this->object.value(QLatin1String(aName));
    if (!value.isArray()) {
      this->Reject(aName);
    }
    return value.toArray();
  }

  QJsonObject OptionalObject(const char* aName)
  {
    const QJsonValue value = this->object.value(QLatin1String(aName));
    if (!value.isUndefined() && !value.isObject()) {
      this->Reject(aName);
    }
    return value.toObject();
  }

  void Reject(const char* aName)
  {
    if (this->rejected.empty()) {
      this->rejected = aName;
    }
  }

  /// Name of the first unusable field; empty if there is none.
  const std::string& Rejected() const { return this->rejected; }

private:
  std::uint64_t Whole(const char* aName, const QJsonValue& aValue, std::uint64_t aMost)
  {
    const double number = aValue.toDouble(-1);
    const bool isWhole = aValue.isDouble() && number >= 0 && number <= kMaxWholeNumber &&
                         std::floor(number) == number && number <= static_cast<double>(aMost);
    if (!isWhole) {
      this->Reject(aName);
      return 0;
    }
    return static_cast<std::uint64_t>(number);
  }

  QJsonObject object;
  std::string rejected;
};

constexpr std::uint64_t kAnyNumber = static_cast<std::uint64_t>(kMaxWholeNumber);
constexpr std::uint64_t kAny32 = std::numeric_limits<std::uint32_t>::max();

Error FieldError(const std::string& aField)
{
  return { ResultCode::ProtocolViolation, "field " + aField + " is missing or of another type" };
}

std::optional<QJsonObject> ParseObject(std::string_view aBody)
{
  const QJsonDocument document = QJsonDocument::fromJson(
    QByteArray::fromRawData(aBody.data(), static_cast<qsizetype>(aBody.size())));
  if (!document.isObject()) {
    return std::nullopt;
  }
  return document.object();
}

std::optional<ReadConsistency> ConsistencyOf(std::string_view aWord)
{
  if (aWord == "primary") {
    return ReadConsistency::Primary;
  }
  if (aWord == "bounded_staleness") {
    return ReadConsistency::BoundedStaleness;
  }
  if (aWord == "read_your_writes") {
    return ReadConsistency::ReadYourWrites;
  }
  return std::nullopt;
}

Result<RouteRow> DecodeRoute(const QJsonValue& aValue)
{
  if (!aValue.isObject()) {
    return Fail(ResultCode::ProtocolViolation, "a route is not an object");
  }
  FieldReader fields(aValue.toObject());
  RouteRow row;
  row.database = fields.Text("host"); // The name of the database that callers start up with.
  row.pathPrefix = fields.Text("path_prefix");
  // A route is the same one as long as it serves the same place, whatever its label is.
  row.name = row.database + row.pathPrefix;
  const auto consistency = ConsistencyOf(fields.Text("route_kind"));
  if (!consistency) {
    fields.Reject("route_kind");
  }
  row.consistency = consistency.value_or(ReadConsistency::Primary);
  row.statementTimeoutMs = static_cast<std::uint32_t>(fields.Number("timeout_ms", kAny32));
  row.targetLatencyMs = static_cast<std::uint32_t>(fields.Number("target_latency_ms", kAny32));
  row.priority = static_cast<std::uint32_t>(fields.OptionalNumber("priority", kAny32));
  row.service = fields.Text("service");
  row.maxAttempts = static_cast<std::uint32_t>(fields.OptionalNumber("max_attempts", kAny32));
  row.acceptedAgeMs = static_cast<std::uint32_t>(fields.OptionalNumber("max_staleness_ms", kAny32));
  if (!fields.Rejected().empty()) {
    return FieldError("routes." + fields.Rejected());
  }
  return row;
}

Result<ServiceRow> DecodeService(const QJsonValue& aValue)
{
  if (!aValue.isObject()) {
    return Fail(ResultCode::ProtocolViolation, "a service is not an object");
  }
  FieldReader fields(aValue.toObject());
  ServiceRow row;
  row.name = fields.Text("name");
  row.connectionLimit =
    static_cast<std::uint32_t>(fields.OptionalNumber("connection_limit", kAny32));
  row.syncReplicas = static_cast<std::uint32_t>(fields.OptionalNumber("sync_replicas", kAny32));
  if (!fields.Rejected().empty()) {
    return FieldError("services." + fields.Rejected());
  }
  return row;
}

std::string ToText(const QJsonObject& aObject)
{
  return QJsonDocument(aObject).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace

Result<BackendRow> DecodeRegistration(std::string_view aBackend, std::string_view aBody)
{
  const auto object = ParseObject(aBody);
  if (!object || aBackend.empty()) {
    return Fail(ResultCode::ProtocolViolation, "the registration cannot be read");
  }
  FieldReader fields(*object);
  BackendRow row;
  row.name = aBackend;
  row.service = fields.Text("service");
  row.address = fields.Text("address");
  row.zone = fields.Text("zone");
  row.slots = static_cast<std::uint32_t>(fields.Number("capacity", kAny32));
  const std::string state = fields.Text("state");
  row.draining = state == "draining";
  if (state != "ready" && state != "draining") {
    fields.Reject("state");
  }
  const std::string role = fields.Text("database_role");
  row.claimsPrimary = role == "primary";
  if (role != "primary" && role != "replica") {
    fields.Reject("database_role");
  }
  row.sequence = fields.Number("sequence", kAnyNumber);
  // The time of the server's start.
  row.startedUnixMs = static_cast<std::int64_t>(fields.OptionalNumber("born", kAnyNumber));
  if (row.service.empty()) {
    fields.Reject("service");
  }
  if (!fields.Rejected().empty()) {
    return FieldError(fields.Rejected());
  }
  return row;
}

Result<RouteConfiguration> DecodeConfiguration(std::string_view aBody)
{
  const auto object = ParseObject(aBody);
  if (!object) {
    return Fail(ResultCode::ProtocolViolation, "the configuration cannot be read");
  }
  FieldReader fields(*object);
  RouteConfiguration configuration;
  configuration.number = fields.Number("version", kAnyNumber);
  const QJsonArray routes = fields.Array("routes");
  const QJsonArray services = fields.Array("services");
  FieldReader limits(fields.OptionalObject("limits"));
  configuration.transactionIdleMs =
    static_cast<std::uint32_t>(limits.OptionalNumber("transaction_idle_ms", kAny32));
  for (const FieldReader& reader : { fields, limits }) {
    if (!reader.Rejected().empty()) {
      return FieldError(reader.Rejected());
    }
  }
  for (const auto& value : routes) {
    BOOST_OUTCOME_TRY(row, DecodeRoute(value));
    configuration.routes.push_back(std::move(row));
  }
  for (const auto& value : services) {
    BOOST_OUTCOME_TRY(row, DecodeService(value));
    configuration.services.push_back(std::move(row));
  }
  configuration.document = aBody;
  return configuration;
}

std::string EncodeRegistrationAnswer(std::string_view aNextAddress)
{
  QJsonObject answer;
  if (!aNextAddress.empty()) {
    answer.insert(
      "heartbeat_address",
      QString::fromUtf8(aNextAddress.data(), static_cast<qsizetype>(aNextAddress.size())));
  }
  return ToText(answer);
}

std::string EncodePromotion(std::string_view aService, std::string_view aBackend)
{
  const auto text = [](std::string_view aText) {
    return QString::fromUtf8(aText.data(), static_cast<qsizetype>(aText.size()));
  };
  // The instance is the backend server to promote.
  return ToText({ { "service", text(aService) }, { "instance_id", text(aBackend) } });
}

} // namespace oleanderledge::platform
