#pragma once

#include "oleanderledge/control/ControlRequestHandler.hpp"
#include "oleanderledge/transport/HttpReply.hpp"

#include <QHttpServer>
#include <QObject>

#include <string>

namespace oleanderledge::platform {

/// The platform's HTTP interface to a control instance: registrations of backend servers, and the
/// operator's configuration. Decodes, asks ControlRequestHandler, and encodes the outcome.
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
  void Reply(const HttpReply& aReply,
             const QString& aPath,
             ControlRequestHandler::Outcome aOutcome,
             const std::string& aBody) const;
  /// Sends the caller to the leader, or tells it to try elsewhere if there is none.
  void Redirect(const HttpReply& aReply, const QString& aPath) const;

  ControlRequestHandler& control;
  std::string ownAddress;
  QHttpServer server;
};

} // namespace oleanderledge::platform
