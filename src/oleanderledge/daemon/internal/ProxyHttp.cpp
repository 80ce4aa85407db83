#include "oleanderledge/daemon/internal/ProxyHttp.hpp"

#include "oleanderledge/metrics/metrics.hpp"
#include "oleanderledge/transport/HttpForwarder.hpp"

namespace oleanderledge {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;
constexpr char kPlainType[] = "text/plain";
constexpr char kJsonType[] = "application/json";
constexpr char kTextType[] = "text/plain; version=0.0.4; charset=utf-8";

QByteArray NoQuorumBody()
{
  const ResultCodeInfo& info = InfoOf(ResultCode::NoQuorum);
  return QByteArray("{\"code\":") + QByteArray::number(static_cast<int>(info.code)) +
         ",\"message\":\"" + QByteArray(info.text.data(), static_cast<int>(info.text.size())) +
         "\"}";
}

} // namespace

ProxyHttp::ProxyHttp(const MetricsRegistry& aMetrics,
                     std::function<bool()> aIsReady,
                     std::function<std::string()> aControlAddress,
                     std::shared_ptr<HttpClients> aClients,
                     QObject* aParent)
  : QObject(aParent)
  , controlAddress(std::move(aControlAddress))
  , forwarder(new HttpForwarder(this))
  , server(std::move(aClients), nullptr)
{
  this->server.AddRoute("GET", "/healthz", [](const HttpRequest&, const HttpReply& aReply) {
    aReply.Send(kHttpOk, kPlainType, "ok\n");
  });
  this->server.AddRoute(
    "GET", "/readyz", [isReady = std::move(aIsReady)](const HttpRequest&, const HttpReply& aReply) {
      const bool ready = isReady();
      aReply.Send(
        ready ? kHttpOk : kHttpUnavailable, kPlainType, ready ? "ready\n" : "not ready\n");
    });
  this->server.AddRoute(
    "GET", "/metrics", [&aMetrics](const HttpRequest&, const HttpReply& aReply) {
      aReply.Send(kHttpOk, kTextType, QByteArray::fromStdString(aMetrics.ToPrometheusText()));
    });
  for (const char* path : { "/v1/classes", "/v1/status", "/v1/config/history" }) {
    for (const char* method : { "GET", "POST" }) {
      this->server.AddRoute(
        method, path, [this](const HttpRequest& aRequest, const HttpReply& aReply) {
          this->ForwardToControl(aRequest, aReply);
        });
    }
  }
}

Result<void> ProxyHttp::Listen(const std::string& aAddress)
{
  if (!this->server.Listen(aAddress)) {
    return Fail(ResultCode::ListenFailed, aAddress + ": the HTTP port cannot be opened");
  }
  return boost::outcome_v2::success();
}

void ProxyHttp::ForwardToControl(const HttpRequest& aRequest, const HttpReply& aReply)
{
  const std::string address = this->controlAddress();
  if (address.empty()) {
    aReply.Send(kHttpUnavailable, kJsonType, NoQuorumBody());
    return;
  }
  this->forwarder->Forward(address,
                           aRequest.url.toEncoded(QUrl::RemoveScheme | QUrl::RemoveAuthority),
                           aRequest.method == "POST" ? aRequest.body : QByteArray(),
                           HttpForwarder::Hop::First,
                           [aReply](int aStatus, const QByteArray& aBody) {
                             const bool answered = aStatus != 0;
                             aReply.Send(answered ? aStatus : kHttpUnavailable,
                                         kJsonType,
                                         answered ? aBody : NoQuorumBody());
                           });
}

} // namespace oleanderledge
