#include "oleanderledge/control/internal/ControlHttp.hpp"

#include "oleanderledge/control/internal/ControlJson.hpp"
#include "oleanderledge/transport/HttpForwarder.hpp"
#include "oleanderledge/transport/LinkConnection.hpp"

#include <QHostAddress>
#include <QHttpServerResponder>
#include <QHttpServerResponse>
#include <QJsonDocument>
#include <QUrlQuery>

namespace oleanderledge {

namespace {

using Method = QHttpServerRequest::Method;
using StatusCode = QHttpServerResponder::StatusCode;

constexpr char kJsonType[] = "application/json";
constexpr char kTextType[] = "text/plain; version=0.0.4; charset=utf-8";

QByteArray ToBytes(const QJsonObject& aObject)
{
  return QJsonDocument(aObject).toJson(QJsonDocument::Compact);
}

bool IsForwarded(const QHttpServerRequest& aRequest)
{
  return !aRequest.value(kForwardedHeader).isEmpty();
}

} // namespace

ControlHttp::ControlHttp(ControlHttpHandler& aHandler, QObject* aParent)
  : QObject(aParent)
  , handler(aHandler)
  , forwarder(new HttpForwarder(this))
{
  this->AddRoutes();
}

Result<void> ControlHttp::Listen(const std::string& aAddress)
{
  const auto [host, port] = SplitAddress(aAddress);
  if (this->server.listen(QHostAddress(QString::fromStdString(host)), port) == 0) {
    return Fail(ResultCode::ListenFailed, aAddress + ": the HTTP port cannot be opened");
  }
  return boost::outcome_v2::success();
}

void ControlHttp::AddRoutes()
{
  this->server.route("/v1/announcements", Method::Post, [this](const QHttpServerRequest& aRequest) {
    auto announcements = ParseAnnouncements(aRequest.body());
    if (!announcements) {
      WriteLog(LogEvent::AnnouncementRejected, announcements.error().message);
      return QHttpServerResponse(
        ErrorToJson(announcements.error().code, announcements.error().message),
        StatusCode::BadRequest);
    }
    for (const Announcement& announcement : announcements.value()) {
      this->handler.HandleAnnouncement(announcement);
    }
    return QHttpServerResponse(QJsonObject{ { "code", static_cast<int>(ResultCode::Ok) } });
  });
  this->server.route("/v1/classes",
                     Method::Post,
                     [this](const QHttpServerRequest& aRequest, QHttpServerResponder&& aResponder) {
                       auto change = ParseClassChange(aRequest.body());
                       if (!change) {
                         aResponder.write(
                           ToBytes(ErrorToJson(change.error().code, change.error().message)),
                           kJsonType,
                           StatusCode::BadRequest);
                         return;
                       }
                       this->Serve(aRequest,
                                   std::move(aResponder),
                                   [this, &change](ControlHttpHandler::OperatorCallback aDone) {
                                     this->handler.ChangeClassNow(change.value(), std::move(aDone));
                                   });
                     });
  const auto addRead = [this](const char* aPath,
                              std::function<QJsonObject(const QHttpServerRequest&)> aRead) {
    this->server.route(
      aPath,
      Method::Get,
      [this, aRead](const QHttpServerRequest& aRequest, QHttpServerResponder&& aResponder) {
        this->Serve(aRequest,
                    std::move(aResponder),
                    [&aRead, &aRequest](const ControlHttpHandler::OperatorCallback& aDone) {
                      aDone(static_cast<int>(StatusCode::Ok), aRead(aRequest));
                    });
      });
  };
  addRead("/v1/classes", [this](const QHttpServerRequest&) { return this->handler.Classes(); });
  addRead("/v1/config/history",
          [this](const QHttpServerRequest&) { return this->handler.History(); });
  addRead("/v1/status", [this](const QHttpServerRequest& aRequest) {
    return this->handler.Status(aRequest.query().queryItemValue("version").toULongLong());
  });
  this->server.route("/healthz", Method::Get, [] { return QHttpServerResponse("ok\n"); });
  this->server.route("/readyz", Method::Get, [this] {
    const bool isReady = this->handler.IsReady();
    return QHttpServerResponse(isReady ? "ready\n" : "not ready\n",
                               isReady ? StatusCode::Ok : StatusCode::ServiceUnavailable);
  });
  this->server.route("/metrics", Method::Get, [this] {
    return QHttpServerResponse(kTextType, this->handler.Metrics());
  });
}

void ControlHttp::Serve(const QHttpServerRequest& aRequest,
                        QHttpServerResponder&& aResponder,
                        const std::function<void(ControlHttpHandler::OperatorCallback)>& aLocal)
{
  const auto responder = std::make_shared<QHttpServerResponder>(std::move(aResponder));
  if (this->handler.IsCurrentLeader()) {
    aLocal([responder](int aStatus, const QJsonObject& aBody) {
      responder->write(ToBytes(aBody), kJsonType, static_cast<StatusCode>(aStatus));
    });
    return;
  }
  const std::string leader = this->handler.LeaderHttpAddress();
  const QByteArray noQuorum = ToBytes(ErrorToJson(ResultCode::NoQuorum, {}));
  if (leader.empty() || IsForwarded(aRequest)) {
    responder->write(noQuorum, kJsonType, StatusCode::ServiceUnavailable);
    return;
  }
  this->forwarder->Forward(leader,
                           aRequest.url().toEncoded(QUrl::RemoveScheme | QUrl::RemoveAuthority),
                           aRequest.method() == Method::Post ? aRequest.body() : QByteArray(),
                           HttpForwarder::Hop::Final,
                           [responder, noQuorum](int aStatus, const QByteArray& aBody) {
                             if (aStatus == 0) {
                               responder->write(
                                 noQuorum, kJsonType, StatusCode::ServiceUnavailable);
                               return;
                             }
                             responder->write(aBody, kJsonType, static_cast<StatusCode>(aStatus));
                           });
}

} // namespace oleanderledge
