#include "oleanderledge/daemon/internal/ProxyHttp.hpp"

#include "oleanderledge/metrics/metrics.hpp"
#include "oleanderledge/transport/DeferredRoute.hpp"
#include "oleanderledge/transport/HttpForwarder.hpp"
#include "oleanderledge/transport/transport.hpp"

#include <QHostAddress>
#include <QHttpServerResponse>

namespace oleanderledge {

namespace {

using Method = QHttpServerRequest::Method;
using StatusCode = QHttpServerResponse::StatusCode;

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
                     QObject* aParent)
  : QObject(aParent)
  , controlAddress(std::move(aControlAddress))
  , forwarder(new HttpForwarder(this))
{
  this->server.route("/healthz", Method::Get, [] { return QHttpServerResponse("ok\n"); });
  this->server.route("/readyz", Method::Get, [isReady = std::move(aIsReady)] {
    const bool ready = isReady();
    return QHttpServerResponse(ready ? "ready\n" : "not ready\n",
                               ready ? StatusCode::Ok : StatusCode::ServiceUnavailable);
  });
  this->server.route("/metrics", Method::Get, [&aMetrics] {
    return QHttpServerResponse(kTextType, QByteArray::fromStdString(aMetrics.ToPrometheusText()));
  });
  for (const char* path : { "/v1/classes", "/v1/status", "/v1/config/history" }) {
    AddDeferredRoute(this->server,
                     path,
                     Method::Get | Method::Post,
                     [this](const QHttpServerRequest& aRequest, const HttpReply& aReply) {
                       this->ForwardToControl(aRequest, aReply);
                     });
  }
}

Result<void> ProxyHttp::Listen(const std::string& aAddress)
{
  const auto [host, port] = SplitAddress(aAddress);
  if (this->server.listen(QHostAddress(QString::fromStdString(host)), port) == 0) {
    return Fail(ResultCode::ListenFailed, aAddress + ": the HTTP port cannot be opened");
  }
  RetryAcceptingAfterErrors(this->server);
  return boost::outcome_v2::success();
}

void ProxyHttp::ForwardToControl(const QHttpServerRequest& aRequest, const HttpReply& aReply)
{
  constexpr int kUnavailable = static_cast<int>(StatusCode::ServiceUnavailable);
  const std::string address = this->controlAddress();
  if (address.empty()) {
    aReply.Send(kUnavailable, kJsonType, NoQuorumBody());
    return;
  }
  this->forwarder->Forward(
    address,
    aRequest.url().toEncoded(QUrl::RemoveScheme | QUrl::RemoveAuthority),
    aRequest.method() == Method::Post ? aRequest.body() : QByteArray(),
    HttpForwarder::Hop::First,
    [aReply](int aStatus, const QByteArray& aBody) {
      const bool answered = aStatus != 0;
      aReply.Send(answered ? aStatus : kUnavailable, kJsonType, answered ? aBody : NoQuorumBody());
    });
}

} // namespace oleanderledge
