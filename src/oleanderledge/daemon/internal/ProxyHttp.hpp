#pragma once

#include "oleanderledge/base/base.hpp"

#include <QHttpServer>
#include <QObject>

#include <functional>
#include <string>

namespace oleanderledge {

class HttpForwarder;
class HttpReply;
class MetricsRegistry;

/// HTTP interface of a proxy: health, readiness, metrics, and operator requests, which are passed
/// on to a control instance.
class ProxyHttp : public QObject
{
  Q_OBJECT

public:
  /// `aControlAddress` gives the HTTP address of a control instance, or empty.
  ProxyHttp(const MetricsRegistry& aMetrics,
            std::function<bool()> aIsReady,
            std::function<std::string()> aControlAddress,
            QObject* aParent);

  /// Opens "ip:port". Fails with ListenFailed.
  Result<void> Listen(const std::string& aAddress);

private:
  void PassOn(const QHttpServerRequest& aRequest, const HttpReply& aReply);

  std::function<std::string()> controlAddress;
  HttpForwarder* forwarder;
  QHttpServer server;
};

} // namespace oleanderledge
