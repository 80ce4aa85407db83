#include "oleanderledge/platform/ControlPlaneServer.hpp"

#include "oleanderledge/control/RouteValidation.hpp"
#include "oleanderledge/platform/ControlMessages.hpp"
#include "oleanderledge/transport/transport.hpp"

namespace oleanderledge::platform {

namespace {

constexpr char kJsonType[] = "application/json";
constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpUnavailable = 503;
/// Characters of a refused path that are logged.
constexpr qsizetype kMaxLoggedPath = 255;
constexpr char kInstancesPath[] = "/api/instances/";
constexpr char kConfigurationPath[] = "/api/configuration";

std::string BackendNameOf(const HttpRequest& aRequest)
{
  return aRequest.url.path().mid(static_cast<qsizetype>(sizeof(kInstancesPath)) - 1).toStdString();
}

std::string_view ToStringView(const QByteArray& aBody)
{
  return { aBody.constData(), static_cast<std::size_t>(aBody.size()) };
}

} // namespace

ControlPlaneServer::ControlPlaneServer(ControlRequestHandler& aControl, QObject* aParent)
  : ControlPlaneServer(aControl, nullptr, aParent)
{
}

ControlPlaneServer::ControlPlaneServer(ControlRequestHandler& aControl,
                                       std::shared_ptr<HttpClients> aClients,
                                       QObject* aParent)
  : QObject(aParent)
  , control(aControl)
  , server(std::move(aClients), nullptr)
{
  const auto add =
    [this](const char* aMethod,
           const char* aPath,
           void (ControlPlaneServer::*aHandler)(const HttpRequest&, const HttpReply&)) {
      this->server.AddRoute(
        aMethod, aPath, [this, aHandler](const HttpRequest& aRequest, const HttpReply& aReply) {
          (this->*aHandler)(aRequest, aReply);
        });
    };
  add("PUT", "/api/instances/*", &ControlPlaneServer::HandleRegistration);
  add("DELETE", "/api/instances/*", &ControlPlaneServer::HandleDeparture);
  add("PUT", kConfigurationPath, &ControlPlaneServer::HandleConfiguration);
  add("GET", kConfigurationPath, &ControlPlaneServer::HandleConfigurationRead);
}

Result<void> ControlPlaneServer::Listen(const std::string& aAddress)
{
  this->ownAddress = aAddress;
  if (!this->server.Listen(aAddress)) {
    return Fail(ResultCode::ListenFailed, aAddress + ": the HTTP port cannot be opened");
  }
  return boost::outcome_v2::success();
}

void ControlPlaneServer::HandleRegistration(const HttpRequest& aRequest, const HttpReply& aReply)
{
  const QByteArray& body = aRequest.body;
  const auto backend = DecodeRegistration(BackendNameOf(aRequest), ToStringView(body));
  if (!backend) {
    WriteLog(LogEvent::AnnouncementRejected,
             "path=" + aRequest.url.path(QUrl::FullyEncoded).left(kMaxLoggedPath).toStdString() +
               " reason=" + backend.error().message);
    aReply.Send(kHttpBadRequest, kJsonType, "{}");
    return;
  }
  this->control.RegisterBackend(
    backend.value(),
    [this, aReply, path = aRequest.url.path()](ControlRequestHandler::Outcome aOutcome) {
      this->SendOutcome(aReply, path, aOutcome, EncodeRegistrationAnswer(this->ownAddress));
    });
}

void ControlPlaneServer::HandleDeparture(const HttpRequest& aRequest, const HttpReply& aReply)
{
  this->control.RemoveBackend(
    BackendNameOf(aRequest),
    [this, aReply, path = aRequest.url.path()](ControlRequestHandler::Outcome aOutcome) {
      this->SendOutcome(aReply, path, aOutcome, "{}");
    });
}

void ControlPlaneServer::HandleConfiguration(const HttpRequest& aRequest, const HttpReply& aReply)
{
  const QByteArray& body = aRequest.body;
  auto configuration = DecodeConfiguration(ToStringView(body));
  const Result<void> checked =
    configuration ? ValidateRoutes(configuration.value())
                  : Result<void>(Fail(configuration.error().code, configuration.error().message));
  if (!checked) {
    WriteLog(LogEvent::RoutesRejected, "reason=" + checked.error().message);
    aReply.Send(kHttpBadRequest,
                kJsonType,
                "{\"error\":\"" + QByteArray::fromStdString(checked.error().message) + "\"}");
    return;
  }
  this->control.StoreConfiguration(
    std::move(configuration.value()),
    [this, aReply, path = aRequest.url.path()](ControlRequestHandler::Outcome aOutcome) {
      this->SendOutcome(aReply, path, aOutcome, "{}");
    });
}

void ControlPlaneServer::HandleConfigurationRead(const HttpRequest& aRequest,
                                                 const HttpReply& aReply)
{
  const auto document = this->control.ReadConfiguration();
  if (document) {
    aReply.Send(kHttpOk, kJsonType, QByteArray::fromStdString(document.value()));
    return;
  }
  if (document.error().code == ResultCode::NotLeader) {
    this->Redirect(aReply, aRequest.url.path());
    return;
  }
  aReply.Send(kHttpUnavailable, kJsonType, "{}");
}

void ControlPlaneServer::SendOutcome(const HttpReply& aReply,
                                     const QString& aPath,
                                     ControlRequestHandler::Outcome aOutcome,
                                     const std::string& aBody) const
{
  switch (aOutcome) {
    case ControlRequestHandler::Outcome::Done:
      aReply.Send(kHttpOk, kJsonType, QByteArray::fromStdString(aBody));
      return;
    case ControlRequestHandler::Outcome::NotLeading:
      this->Redirect(aReply, aPath);
      return;
    case ControlRequestHandler::Outcome::Unavailable:
      aReply.Send(kHttpUnavailable, kJsonType, "{}");
      return;
  }
}

void ControlPlaneServer::Redirect(const HttpReply& aReply, const QString& aPath) const
{
  const std::string leader = this->control.LeaderIpAddress();
  const auto [ownHost, port] = SplitAddress(this->ownAddress);
  if (leader.empty() || leader == ownHost) {
    WriteLog(LogEvent::RequestWithoutLeader,
             "path=" + aPath.left(kMaxLoggedPath).toStdString() +
               " reason=" + (leader.empty() ? "no_leader" : "unconfirmed"));
    aReply.Send(kHttpUnavailable, kJsonType, "{}");
    return;
  }
  // All instances that serve this interface use the same port.
  aReply.SendRedirect("http://" + QByteArray::fromStdString(leader) + ":" +
                      QByteArray::number(port) + QUrl::toPercentEncoding(aPath, "/"));
}

} // namespace oleanderledge::platform
