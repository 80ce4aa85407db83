#pragma once

#include "oleanderledge/control/ControlRequestHandler.hpp"
#include "oleanderledge/transport/HttpServer.hpp"

#include <QObject>

#include <memory>
#include <string>

namespace oleanderledge::platform {

/// HTTP server of a control instance for the platform: registrations of backend servers and the
/// operator's configuration. Decodes requests, passes them to ControlRequestHandler and encodes the
/// outcome.
class ControlPlaneServer : public QObject
{
  Q_OBJECT

public:
  ControlPlaneServer(ControlRequestHandler& aControl, QObject* aParent);
  /// For servers that share limits on their clients.
  ControlPlaneServer(ControlRequestHandler& aControl,
                     std::shared_ptr<HttpClients> aClients,
                     QObject* aParent);

  /// Opens "ip:port". Fails with ListenFailed.
  Result<void> Listen(const std::string& aAddress);

private:
  void HandleRegistration(const HttpRequest& aRequest, const HttpReply& aReply);
  void HandleDeparture(const HttpRequest& aRequest, const HttpReply& aReply);
  void HandleConfiguration(const HttpRequest& aRequest, const HttpReply& aReply);
  void HandleConfigurationRead(const HttpRequest& aRequest, const HttpReply& aReply);
  void SendOutcome(const HttpReply& aReply,
                   const QString& aPath,
                   ControlRequestHandler::Outcome aOutcome,
                   const std::string& aBody) const;
  /// Answers 307 with the address of the leader, or 503 if no other leader is known.
  void Redirect(const HttpReply& aReply, const QString& aPath) const;

  ControlRequestHandler& control;
  std::string ownAddress;
  HttpServer server;
};

} // namespace oleanderledge::platform
