#pragma once

#include "oleanderledge/base/base.hpp"

#include <QHttpServer>
#include <QObject>

#include <functional>
#include <string>

namespace oleanderledge::platform {

/// Answers the load balancer's question whether this proxy takes new connections.
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
