#include "oleanderledge/control/internal/ControlHttp.hpp"

#include "oleanderledge/control/internal/ControlJson.hpp"
#include "oleanderledge/transport/AcceptRetry.hpp"
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

constexpr char kJsonContentType[] = "application/json";
constexpr char kMetricsContentType[] = "text/plain; version=0.0.4; charset=utf-8";

QByteArray ToCompactJson(const QJsonObject& aObject)
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
  RetryAcceptingAfterErrors(this->server);
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
                    kJsonContentType,
                    ToCompactJson(ErrorToJson(change.error().code, change.error().message)));
        return;
      }
      this->AnswerOnLeader(
        aRequest, aReply, [this, &change](ControlHttpHandler::OperatorCallback aDone) {
          this->handler.HandleClassChange(change.value(), std::move(aDone));
        });
    });
  const auto addGetRoute = [this](const char* aPath,
                                  std::function<QJsonObject(const QHttpServerRequest&)> aReadJson) {
    AddDeferredRoute(
      this->server,
      aPath,
      Method::Get,
      [this, aReadJson](const QHttpServerRequest& aRequest, const HttpReply& aReply) {
        this->AnswerOnLeader(
          aRequest,
          aReply,
          [&aReadJson, &aRequest](const ControlHttpHandler::OperatorCallback& aDone) {
            aDone(static_cast<int>(StatusCode::Ok), aReadJson(aRequest));
          });
      });
  };
  addGetRoute("/v1/classes", [this](const QHttpServerRequest&) { return this->handler.Classes(); });
  addGetRoute("/v1/config/history",
              [this](const QHttpServerRequest&) { return this->handler.ClassHistory(); });
  addGetRoute("/v1/status", [this](const QHttpServerRequest& aRequest) {
    return this->handler.Status(aRequest.query().queryItemValue("version").toULongLong());
  });
  this->server.route("/healthz", Method::Get, [] { return QHttpServerResponse("ok\n"); });
  this->server.route("/readyz", Method::Get, [this] {
    const bool isReady = this->handler.IsReady();
    return QHttpServerResponse(isReady ? "ready\n" : "not ready\n",
                               isReady ? StatusCode::Ok : StatusCode::ServiceUnavailable);
  });
  this->server.route("/metrics", Method::Get, [this] {
    return QHttpServerResponse(kMetricsContentType, this->handler.Metrics());
  });
}

void ControlHttp::AnswerOnLeader(
  const QHttpServerRequest& aRequest,
  const HttpReply& aReply,
  const std::function<void(ControlHttpHandler::OperatorCallback)>& aAnswerLocally)
{
  if (this->handler.IsCurrentLeader()) {
    aAnswerLocally([aReply](int aStatus, const QJsonObject& aBody) {
      aReply.Send(aStatus, kJsonContentType, ToCompactJson(aBody));
    });
    return;
  }
  constexpr int kUnavailable = static_cast<int>(StatusCode::ServiceUnavailable);
  const std::string leader = this->handler.LeaderHttpAddress();
  const QByteArray noQuorum = ToCompactJson(ErrorToJson(ResultCode::NoQuorum, {}));
  if (leader.empty() || IsForwarded(aRequest)) {
    aReply.Send(kUnavailable, kJsonContentType, noQuorum);
    return;
  }
  this->forwarder->Forward(leader,
                           aRequest.url().toEncoded(QUrl::RemoveScheme | QUrl::RemoveAuthority),
                           aRequest.method() == Method::Post ? aRequest.body() : QByteArray(),
                           HttpForwarder::Hop::Final,
                           [aReply, noQuorum](int aStatus, const QByteArray& aBody) {
                             const bool isAnswered = aStatus != 0;
                             aReply.Send(isAnswered ? aStatus : kUnavailable,
                                         kJsonContentType,
                                         isAnswered ? aBody : noQuorum);
                           });
}

} // namespace oleanderledge
