#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/transport/HttpServer.hpp"

#include <QObject>

#include <functional>
#include <memory>
#include <string>

namespace oleanderledge {

class HttpForwarder;
class MetricsRegistry;

/// HTTP interface of a proxy: health, readiness and metrics, and operator requests, which it
/// forwards to a control instance.
class ProxyHttp : public QObject
{
  Q_OBJECT

public:
  /// `aControlAddress` returns the HTTP address of the connected control instance; empty if there
  /// is none.
  ProxyHttp(const MetricsRegistry& aMetrics,
            std::function<bool()> aIsReady,
            std::function<std::string()> aControlAddress,
            std::shared_ptr<HttpClients> aClients,
            QObject* aParent);

  /// Opens "ip:port". Fails with ListenFailed.
  Result<void> Listen(const std::string& aAddress);

private:
  /// Answers 503 with code NoQuorum if no control instance is connected or answers.
  void ForwardToControl(const HttpRequest& aRequest, const HttpReply& aReply);

  std::function<std::string()> controlAddress;
  HttpForwarder* forwarder;
  HttpServer server;
};

} // namespace oleanderledge
