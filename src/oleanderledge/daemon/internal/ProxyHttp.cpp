#include "oleanderledge/daemon/internal/ProxyHttp.hpp"

#include "oleanderledge/metrics/metrics.hpp"
#include "oleanderledge/transport/HttpForwarder.hpp"
#include "oleanderledge/transport/transport.hpp"

#include <QHostAddress>
#include <QHttpServerResponder>
#include <QHttpServerResponse>

#include <memory>

namespace oleanderledge {

namespace {

using Method = QHttpServerRequest::Method;
using StatusCode = QHttpServerResponder::StatusCode;

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
    this->server.route(
      path,
      Method::Get | Method::Post,
      [this](const QHttpServerRequest& aRequest, QHttpServerResponder&& aResponder) {
        this->PassOn(aRequest, std::move(aResponder));
      });
  }
}

Result<void> ProxyHttp::Listen(const std::string& aAddress)
{
  const auto [host, port] = SplitAddress(aAddress);
  if (this->server.listen(QHostAddress(QString::fromStdString(host)), port) == 0) {
    return Fail(ResultCode::ListenFailed, aAddress + ": the HTTP port cannot be opened");
  }
  return boost::outcome_v2::success();
}

void ProxyHttp::PassOn(const QHttpServerRequest& aRequest, QHttpServerResponder&& aResponder)
{
  const auto responder = std::make_shared<QHttpServerResponder>(std::move(aResponder));
  const std::string address = this->controlAddress();
  if (address.empty()) {
    responder->write(NoQuorumBody(), kJsonType, StatusCode::ServiceUnavailable);
    return;
  }
  this->forwarder->Forward(
    address,
    aRequest.url().toEncoded(QUrl::RemoveScheme | QUrl::RemoveAuthority),
    aRequest.method() == Method::Post ? aRequest.body() : QByteArray(),
    HttpForwarder::Hop::First,
    [responder](int aStatus, const QByteArray& aBody) {
      const bool answered = aStatus != 0;
      responder->write(answered ? aBody : NoQuorumBody(),
                       kJsonType,
                       answered ? static_cast<StatusCode>(aStatus)
                                : StatusCode::ServiceUnavailable);
    });
}

} // namespace oleanderledge
