#pragma once

#include "oleanderledge/base/base.hpp"

#include <QHttpServer>
#include <QObject>

#include <functional>
#include <string>

namespace oleanderledge::platform {

/// HTTP readiness probe of a proxy: tells the load balancer whether to send it new connections.
/// Answers 200 if the proxy is ready, else 503.
class ReadinessServer : public QObject
{
  Q_OBJECT

public:
  ReadinessServer(std::function<bool()> aIsReady, QObject* aParent);

  /// Opens "ip:port". Fails with ListenFailed.
  Result<void> Listen(const std::string& aAddress);

private:
  QHttpServer server;
};

} // namespace oleanderledge::platform
