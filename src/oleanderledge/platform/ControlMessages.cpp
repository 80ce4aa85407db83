#include "oleanderledge/platform/ControlMessages.hpp"

#include "oleanderledge/organisations/organisations.hpp"

#include <boost/outcome/try.hpp>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace oleanderledge::platform {

namespace {

/// Largest integer that is unambiguous as a JSON number, which is read as a double: 2^53 + 1 is
/// rounded to 2^53.
constexpr double kMaxWholeNumber = 9007199254740991.0;

/// Reads typed fields of a JSON object and records the first one that is missing or invalid.
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
      this->MarkInvalid(aName);
    }
    return value.toString().toStdString();
  }

  std::uint64_t Number(const char* aName, std::uint64_t aMaximum)
  {
    return this->ParseWholeNumber(aName, this->object.value(QLatin1String(aName)), aMaximum);
  }

  /// Returns 0 if the field is absent.
  std::uint64_t OptionalNumber(const char* aName, std::uint64_t aMaximum)
  {
    const QJsonValue value = this->object.value(QLatin1String(aName));
    return value.isUndefined() ? 0 : this->ParseWholeNumber(aName, value, aMaximum);
  }

  bool Has(const char* aName) const { return this->object.contains(QLatin1String(aName)); }

  /// Returns false if the field is absent.
  bool OptionalFlag(const char* aName)
  {
    const QJsonValue value = this->object.value(QLatin1String(aName));
    if (!value.isUndefined() && !value.isBool()) {
      this->MarkInvalid(aName);
    }
    return value.toBool();
  }

  /// Reads a number that need not be whole and returns it in thousandths, rounded down.
  std::uint64_t Thousandths(const char* aName)
  {
    constexpr double kThousandthsPerUnit = 1000;
    const QJsonValue value = this->object.value(QLatin1String(aName));
    const double number = value.toDouble(-1);
    if (!value.isDouble() || number < 0 || number > kMaxWholeNumber / kThousandthsPerUnit) {
      this->MarkInvalid(aName);
      return 0;
    }
    return static_cast<std::uint64_t>(number * kThousandthsPerUnit);
  }

  QJsonArray Array(const char* aName)
  {
    const QJsonValue value = this->object.value(QLatin1String(aName));
    if (!value.isArray()) {
      this->MarkInvalid(aName);
    }
    return value.toArray();
  }

  QJsonObject OptionalObject(const char* aName)
  {
    const QJsonValue value = this->object.value(QLatin1String(aName));
    if (!value.isUndefined() && !value.isObject()) {
      this->MarkInvalid(aName);
    }
    return value.toObject();
  }

  void MarkInvalid(const char* aName)
  {
    if (this->invalidField.empty()) {
      this->invalidField = aName;
    }
  }

  /// Name of the first missing or invalid field; empty if there is none.
  const std::string& FirstInvalidField() const { return this->invalidField; }

private:
  std::uint64_t ParseWholeNumber(const char* aName,
                                 const QJsonValue& aValue,
                                 std::uint64_t aMaximum)
  {
    const double number = aValue.toDouble(-1);
    const bool isWhole = aValue.isDouble() && number >= 0 && number <= kMaxWholeNumber &&
                         std::floor(number) == number && number <= static_cast<double>(aMaximum);
    if (!isWhole) {
      this->MarkInvalid(aName);
      return 0;
    }
    return static_cast<std::uint64_t>(number);
  }

  QJsonObject object;
  std::string invalidField;
};

constexpr std::uint64_t kMaxNumber = static_cast<std::uint64_t>(kMaxWholeNumber);
/// The last millisecond of the year 9999.
constexpr std::uint64_t kMaxUnixMs = 253'402'300'799'999;
/// Longest id of a server, service or zone. Every proxy gets these names.
constexpr std::size_t kMaxNameBytes = 255;
constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();

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

/// True for a single word. Ids and services are sent to servers as fields of a line, so a blank or
/// a line break in one would change the line.
bool IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::ranges::none_of(aText,
                              [](unsigned char aByte) { return aByte <= ' ' || aByte == 0x7f; });
}

std::optional<ReadConsistency> ParseConsistency(std::string_view aWord)
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
  row.database = fields.Text("host"); // The database name that callers send at startup.
  row.pathPrefix = fields.Text("path_prefix");
  // Routes are identified by database and path prefix; the platform may change their label.
  row.name = row.database + row.pathPrefix;
  const auto consistency = ParseConsistency(fields.Text("route_kind"));
  if (!consistency) {
    fields.MarkInvalid("route_kind");
  }
  row.consistency = consistency.value_or(ReadConsistency::Primary);
  row.statementTimeoutMs = static_cast<std::uint32_t>(fields.Number("timeout_ms", kMaxUint32));
  row.targetLatencyMs = static_cast<std::uint32_t>(fields.Number("target_latency_ms", kMaxUint32));
  row.priority = static_cast<std::uint32_t>(fields.OptionalNumber("priority", kMaxUint32));
  row.service = fields.Text("service");
  row.maxAttempts = static_cast<std::uint32_t>(fields.OptionalNumber("max_attempts", kMaxUint32));
  row.acceptedAgeMs =
    static_cast<std::uint32_t>(fields.OptionalNumber("max_staleness_ms", kMaxUint32));
  row.isPublic = fields.OptionalFlag("public"); // Callers need no key.
  if (!fields.FirstInvalidField().empty()) {
    return FieldError("routes." + fields.FirstInvalidField());
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
    static_cast<std::uint32_t>(fields.OptionalNumber("connection_limit", kMaxUint32));
  row.syncReplicas = static_cast<std::uint32_t>(fields.OptionalNumber("sync_replicas", kMaxUint32));
  if (!fields.FirstInvalidField().empty()) {
    return FieldError("services." + fields.FirstInvalidField());
  }
  return row;
}

/// The errors do not name a key.
Result<std::vector<std::string>> DecodeKeys(const QJsonArray& aKeys)
{
  std::vector<std::string> digests;
  for (const auto& value : aKeys) {
    // Callers send a key as a word of a line.
    const std::string key = value.toString().toStdString();
    if (!IsName(key)) {
      return FieldError("tenants.api_keys");
    }
    digests.push_back(DigestOfKey(key));
  }
  return digests;
}

Result<OrganisationRow> DecodeOrganisation(const QJsonValue& aValue)
{
  if (!aValue.isObject()) {
    return Fail(ResultCode::ProtocolViolation, "an organisation is not an object");
  }
  FieldReader fields(aValue.toObject());
  OrganisationRow row;
  row.name = fields.Text("name");
  if (!IsName(row.name)) {
    fields.MarkInvalid("name");
  }
  row.priority = static_cast<std::uint32_t>(fields.OptionalNumber("priority", kMaxUint32));
  // Without a rate, operations are not limited.
  row.rate.isLimited = fields.Has("rate_per_s");
  if (row.rate.isLimited) {
    row.rate.perKilosecond = fields.Thousandths("rate_per_s");
    row.rate.burst = static_cast<std::uint32_t>(fields.OptionalNumber("burst", kMaxUint32));
  }
  const QJsonArray keys = fields.Array("api_keys");
  if (!fields.FirstInvalidField().empty()) {
    return FieldError("tenants." + fields.FirstInvalidField());
  }
  BOOST_OUTCOME_TRY(digests, DecodeKeys(keys));
  row.keyDigests = std::move(digests);
  return row;
}

std::string ToJsonText(const QJsonObject& aObject)
{
  return QJsonDocument(aObject).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace

Result<BackendRow> DecodeRegistration(std::string_view aBackend, std::string_view aBody)
{
  const auto object = ParseObject(aBody);
  if (!object || !IsName(aBackend)) {
    return Fail(ResultCode::ProtocolViolation, "the registration cannot be read");
  }
  FieldReader fields(*object);
  BackendRow row;
  row.name = aBackend;
  row.service = fields.Text("service");
  row.address = fields.Text("address");
  if (!IsIpAndPort(row.address)) {
    fields.MarkInvalid("address");
  }
  row.zone = fields.Text("zone");
  // Not used. Each server sends them, so an entry without them names no server.
  fields.Text("version");
  fields.Number("warmup_remaining_ms", kMaxNumber);
  row.slots = static_cast<std::uint32_t>(fields.Number("capacity", kMaxUint32));
  const std::string state = fields.Text("state");
  row.draining = state == "draining";
  if (state != "ready" && state != "draining") {
    fields.MarkInvalid("state");
  }
  const std::string role = fields.Text("database_role");
  row.claimsPrimary = role == "primary";
  if (role != "primary" && role != "replica") {
    fields.MarkInvalid("database_role");
  }
  row.sequence = fields.Number("sequence", kMaxNumber);
  // "born" is the time at which the server started.
  row.startedUnixMs = static_cast<std::int64_t>(fields.OptionalNumber("born", kMaxUnixMs));
  if (!IsName(row.service)) {
    fields.MarkInvalid("service");
  }
  if (!IsName(row.zone)) {
    fields.MarkInvalid("zone");
  }
  if (!fields.FirstInvalidField().empty()) {
    return FieldError(fields.FirstInvalidField());
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
  configuration.number = fields.Number("version", kMaxNumber);
  const QJsonArray routes = fields.Array("routes");
  const QJsonArray services = fields.Array("services");
  // Callers need keys only if the configuration names those who hold them.
  configuration.usesOrganisations = fields.Has("tenants");
  const QJsonArray organisations =
    configuration.usesOrganisations ? fields.Array("tenants") : QJsonArray{};
  FieldReader limits(fields.OptionalObject("limits"));
  configuration.transactionIdleMs =
    static_cast<std::uint32_t>(limits.OptionalNumber("transaction_idle_ms", kMaxUint32));
  for (const FieldReader& reader : { fields, limits }) {
    if (!reader.FirstInvalidField().empty()) {
      return FieldError(reader.FirstInvalidField());
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
  for (const auto& value : organisations) {
    BOOST_OUTCOME_TRY(row, DecodeOrganisation(value));
    configuration.organisations.push_back(std::move(row));
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
  return ToJsonText(answer);
}

std::string EncodePromotion(std::string_view aService, std::string_view aBackend)
{
  const auto text = [](std::string_view aText) {
    return QString::fromUtf8(aText.data(), static_cast<qsizetype>(aText.size()));
  };
  // "instance_id" names the backend server to promote.
  return ToJsonText({ { "service", text(aService) }, { "instance_id", text(aBackend) } });
}

} // namespace oleanderledge::platform
