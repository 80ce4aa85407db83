#include "oleanderledge/control/internal/ControlHttp.hpp"

#include "oleanderledge/control/internal/ControlJson.hpp"
#include "oleanderledge/transport/DeferredRoute.hpp"
#include "oleanderledge/transport/HttpForwarder.hpp"
#include "oleanderledge/transport/LinkConnection.hpp"

#include <QHostAddress>
#include <QHttpServerResponder>
#include <QHttpServerResponse>
#include <QHttpServerRouter>
#include <QHttpServerRouterRule>
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
  AddDeferredRoute(
    this->server,
    "/v1/classes",
    Method::Post,
    [this](const QHttpServerRequest& aRequest, const HttpReply& aReply) {
      auto change = ParseClassChange(aRequest.body());
      if (!change) {
        aReply.Send(static_cast<int>(StatusCode::BadRequest),
                    kJsonType,
                    ToBytes(ErrorToJson(change.error().code, change.error().message)));
        return;
      }
      this->Serve(aRequest, aReply, [this, &change](ControlHttpHandler::OperatorCallback aDone) {
        this->handler.ChangeClassNow(change.value(), std::move(aDone));
      });
    });
  const auto addRead = [this](const char* aPath,
                              std::function<QJsonObject(const QHttpServerRequest&)> aRead) {
    AddDeferredRoute(
      this->server,
      aPath,
      Method::Get,
      [this, aRead](const QHttpServerRequest& aRequest, const HttpReply& aReply) {
        this->Serve(
          aRequest, aReply, [&aRead, &aRequest](const ControlHttpHandler::OperatorCallback& aDone) {
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
                        const HttpReply& aReply,
                        const std::function<void(ControlHttpHandler::OperatorCallback)>& aLocal)
{
  if (this->handler.IsCurrentLeader()) {
    aLocal([aReply](int aStatus, const QJsonObject& aBody) {
      aReply.Send(aStatus, kJsonType, ToBytes(aBody));
    });
    return;
  }
  constexpr int kUnavailable = static_cast<int>(StatusCode::ServiceUnavailable);
  const std::string leader = this->handler.LeaderHttpAddress();
  const QByteArray noQuorum = ToBytes(ErrorToJson(ResultCode::NoQuorum, {}));
  if (leader.empty() || IsForwarded(aRequest)) {
    aReply.Send(kUnavailable, kJsonType, noQuorum);
    return;
  }
  this->forwarder->Forward(
    leader,
    aRequest.url().toEncoded(QUrl::RemoveScheme | QUrl::RemoveAuthority),
    aRequest.method() == Method::Post ? aRequest.body() : QByteArray(),
    HttpForwarder::Hop::Final,
    [aReply, noQuorum](int aStatus, const QByteArray& aBody) {
      const bool isAnswered = aStatus != 0;
      aReply.Send(isAnswered ? aStatus : kUnavailable, kJsonType, isAnswered ? aBody : noQuorum);
    });
}

} // namespace oleanderledge
