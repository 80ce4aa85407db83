#include "CommandServer.hpp"

#include <QHttpServerResponse>
#include <QUrlQuery>

#include <functional>
#include <optional>

namespace oleanderledge::stand_in {

namespace {

using Method = QHttpServerRequest::Method;
using StatusCode = QHttpServerResponse::StatusCode;

QHttpServerResponse Accepted()
{
  return { QJsonObject{ { "result", "ok" } } };
}

QHttpServerResponse Rejected(const QString& aReason)
{
  return { QJsonObject{ { "error", aReason } }, StatusCode::BadRequest };
}

std::optional<CutScope> ParseScope(const QString& aText)
{
  if (aText.isEmpty() || aText == "all") {
    return CutScope::All;
  }
  if (aText == "clients") {
    return CutScope::Clients;
  }
  if (aText == "replication") {
    return CutScope::Replication;
  }
  if (aText == "announcements") {
    return CutScope::Announcements;
  }
  return std::nullopt;
}

/// Reads a number from the query string of a request; leaves `aValue` unchanged if it is absent.
/// Returns false if it is present but negative or not a number.
bool ReadNumber(const QUrlQuery& aQuery, const char* aName, double& aValue)
{
  if (!aQuery.hasQueryItem(aName)) {
    return true;
  }
  bool valid = false;
  const double number = aQuery.queryItemValue(aName).toDouble(&valid);
  if (valid && number >= 0) {
    aValue = number;
  }
  return valid && number >= 0;
}

} // namespace

CommandServer::CommandServer(DatabaseSlot& aSlot, QObject* aParent)
  : QObject(aParent)
  , slot(aSlot)
  , address(ParseAddress(aSlot.Context().settings.httpAddress))
{
  this->AddFaultRoutes();
  this->AddSettingRoutes();
}

bool CommandServer::Listen()
{
  const quint16 port = this->server.listen(this->address.host, this->address.port);
  this->address.port = port;
  return port != 0;
}

void CommandServer::AddFaultRoutes()
{
  this->server.route("/freeze", Method::Post, [this](const QHttpServerRequest&) {
    this->slot.Freeze();
    return Accepted();
  });
  this->server.route("/thaw", Method::Post, [this](const QHttpServerRequest&) {
    this->slot.Thaw();
    return Accepted();
  });
  this->server.route("/cut", Method::Post, [this](const QHttpServerRequest& aRequest) {
    const auto scope = ParseScope(aRequest.query().queryItemValue("scope"));
    if (!scope) {
      return Rejected("scope is one of all, clients, replication, announcements");
    }
    this->slot.Cut(*scope);
    return Accepted();
  });
  this->server.route("/heal", Method::Post, [this](const QHttpServerRequest&) {
    this->slot.Heal();
    return Accepted();
  });
  this->server.route("/depart", Method::Post, [this](const QHttpServerRequest& aRequest) {
    this->slot.SetDeparting(aRequest.query().queryItemValue("departing") != "false");
    return Accepted();
  });
}

void CommandServer::AddSettingRoutes()
{
  this->server.route("/lag", Method::Post, [this](const QHttpServerRequest& aRequest) {
    SlotSettings& settings = this->slot.Context().settings;
    double receive = settings.receiveLagMs;
    double apply = settings.applyLagMs;
    if (!ReadNumber(aRequest.query(), "receive_ms", receive) ||
        !ReadNumber(aRequest.query(), "apply_ms", apply)) {
      return Rejected("receive_ms and apply_ms are milliseconds");
    }
    settings.receiveLagMs = static_cast<int>(receive);
    settings.applyLagMs = static_cast<int>(apply);
    return Accepted();
  });
  this->server.route("/service", Method::Post, [this](const QHttpServerRequest& aRequest) {
    if (!ReadNumber(aRequest.query(), "ms", this->slot.Context().settings.serviceMs)) {
      return Rejected("ms is a number of milliseconds");
    }
    return Accepted();
  });
  this->server.route("/dump", Method::Get, [this](const QHttpServerRequest&) {
    return QHttpServerResponse(this->slot.Dump());
  });
  this->server.route("/healthz", Method::Get, [](const QHttpServerRequest&) { return Accepted(); });
}

} // namespace oleanderledge::stand_in
