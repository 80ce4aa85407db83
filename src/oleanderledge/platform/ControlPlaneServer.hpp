#pragma once

#include "oleanderledge/control/ControlRequestHandler.hpp"
#include "oleanderledge/transport/HttpReply.hpp"

#include <QHttpServer>
#include <QObject>

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

  /// Opens "ip:port". Fails with ListenFailed.
  Result<void> Listen(const std::string& aAddress);

private:
  void HandleRegistration(const QHttpServerRequest& aRequest, const HttpReply& aReply);
  void HandleDeparture(const QHttpServerRequest& aRequest, const HttpReply& aReply);
  void HandleConfiguration(const QHttpServerRequest& aRequest, const HttpReply& aReply);
  void HandleConfigurationRead(const QHttpServerRequest& aRequest, const HttpReply& aReply);
  void SendOutcome(const HttpReply& aReply,
                   const QString& aPath,
                   ControlRequestHandler::Outcome aOutcome,
                   const std::string& aBody) const;
  /// Answers 307 with the address of the leader, or 503 if no other leader is known.
  void Redirect(const HttpReply& aReply, const QString& aPath) const;

  ControlRequestHandler& control;
  std::string ownAddress;
  QHttpServer server;
};

} // namespace oleanderledge::platform
