#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/transport/HttpServer.hpp"

#include <QObject>

#include <functional>
#include <memory>
#include <string>

namespace oleanderledge::platform {

/// HTTP readiness probe of a proxy: tells the load balancer whether to send it new connections.
/// Answers 200 if the proxy is ready, else 503.
class ReadinessServer : public QObject
{
  Q_OBJECT

public:
  ReadinessServer(std::function<bool()> aIsReady, QObject* aParent);
  /// For servers that share limits on their clients.
  ReadinessServer(std::function<bool()> aIsReady,
                  std::shared_ptr<HttpClients> aClients,
                  QObject* aParent);

  /// Opens "ip:port". Fails with ListenFailed.
  Result<void> Listen(const std::string& aAddress);

private:
  HttpServer server;
};

} // namespace oleanderledge::platform
