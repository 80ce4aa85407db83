#include "oleanderledge/control/internal/ControlHttp.hpp"

#include "oleanderledge/control/internal/ControlJson.hpp"
#include "oleanderledge/transport/HttpForwarder.hpp"

#include <QJsonDocument>
#include <QUrlQuery>

namespace oleanderledge {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpUnavailable = 503;
constexpr char kTextContentType[] = "text/plain";
constexpr char kJsonContentType[] = "application/json";
constexpr char kMetricsContentType[] = "text/plain; version=0.0.4; charset=utf-8";

QByteArray ToCompactJson(const QJsonObject& aObject)
{
  return QJsonDocument(aObject).toJson(QJsonDocument::Compact);
}

bool IsForwarded(const HttpRequest& aRequest)
{
  return !aRequest.Header(kForwardedHeader).isEmpty();
}

} // namespace

ControlHttp::ControlHttp(ControlHttpHandler& aHandler,
                         std::shared_ptr<HttpClients> aClients,
                         QObject* aParent)
  : QObject(aParent)
  , handler(aHandler)
  , forwarder(new HttpForwarder(this))
  , server(std::move(aClients), nullptr)
{
  this->AddRoutes();
}

Result<void> ControlHttp::Listen(const std::string& aAddress)
{
  if (!this->server.Listen(aAddress)) {
    return Fail(ResultCode::ListenFailed, aAddress + ": the HTTP port cannot be opened");
  }
  return boost::outcome_v2::success();
}

void ControlHttp::AddRoutes()
{
  this->server.AddRoute(
    "POST", "/v1/announcements", [this](const HttpRequest& aRequest, const HttpReply& aReply) {
      auto announcements = ParseAnnouncements(aRequest.body);
      if (!announcements) {
        WriteLog(LogEvent::AnnouncementRejected, announcements.error().message);
        aReply.Send(
          kHttpBadRequest,
          kJsonContentType,
          ToCompactJson(ErrorToJson(announcements.error().code, announcements.error().message)));
        return;
      }
      for (const Announcement& announcement : announcements.value()) {
        this->handler.HandleAnnouncement(announcement);
      }
      aReply.Send(kHttpOk,
                  kJsonContentType,
                  ToCompactJson(QJsonObject{ { "code", static_cast<int>(ResultCode::Ok) } }));
    });
  this->server.AddRoute(
    "POST", "/v1/classes", [this](const HttpRequest& aRequest, const HttpReply& aReply) {
      auto change = ParseClassChange(aRequest.body);
      if (!change) {
        aReply.Send(kHttpBadRequest,
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
                                  std::function<QJsonObject(const HttpRequest&)> aReadJson) {
    this->server.AddRoute(
      "GET", aPath, [this, aReadJson](const HttpRequest& aRequest, const HttpReply& aReply) {
        this->AnswerOnLeader(
          aRequest,
          aReply,
          [&aReadJson, &aRequest](const ControlHttpHandler::OperatorCallback& aDone) {
            aDone(kHttpOk, aReadJson(aRequest));
          });
      });
  };
  addGetRoute("/v1/classes", [this](const HttpRequest&) { return this->handler.Classes(); });
  addGetRoute("/v1/config/history",
              [this](const HttpRequest&) { return this->handler.ClassHistory(); });
  addGetRoute("/v1/status", [this](const HttpRequest& aRequest) {
    return this->handler.Status(QUrlQuery(aRequest.url).queryItemValue("version").toULongLong());
  });
  this->server.AddRoute("GET", "/healthz", [](const HttpRequest&, const HttpReply& aReply) {
    aReply.Send(kHttpOk, kTextContentType, "ok\n");
  });
  this->server.AddRoute("GET", "/readyz", [this](const HttpRequest&, const HttpReply& aReply) {
    const bool isReady = this->handler.IsReady();
    aReply.Send(
      isReady ? kHttpOk : kHttpUnavailable, kTextContentType, isReady ? "ready\n" : "not ready\n");
  });
  this->server.AddRoute("GET", "/metrics", [this](const HttpRequest&, const HttpReply& aReply) {
    aReply.Send(kHttpOk, kMetricsContentType, this->handler.Metrics());
  });
}

void ControlHttp::AnswerOnLeader(
  const HttpRequest& aRequest,
  const HttpReply& aReply,
  const std::function<void(ControlHttpHandler::OperatorCallback)>& aAnswerLocally)
{
  if (this->handler.IsCurrentLeader()) {
    aAnswerLocally([aReply](int aStatus, const QJsonObject& aBody) {
      aReply.Send(aStatus, kJsonContentType, ToCompactJson(aBody));
    });
    return;
  }
  const std::string leader = this->handler.LeaderHttpAddress();
  const QByteArray noQuorum = ToCompactJson(ErrorToJson(ResultCode::NoQuorum, {}));
  if (leader.empty() || IsForwarded(aRequest)) {
    aReply.Send(kHttpUnavailable, kJsonContentType, noQuorum);
    return;
  }
  this->forwarder->Forward(leader,
                           aRequest.url.toEncoded(QUrl::RemoveScheme | QUrl::RemoveAuthority),
                           aRequest.method == "POST" ? aRequest.body : QByteArray(),
                           HttpForwarder::Hop::Final,
                           [aReply, noQuorum](int aStatus, const QByteArray& aBody) {
                             const bool isAnswered = aStatus != 0;
                             aReply.Send(isAnswered ? aStatus : kHttpUnavailable,
                                         kJsonContentType,
                                         isAnswered ? aBody : noQuorum);
                           });
}

} // namespace oleanderledge
