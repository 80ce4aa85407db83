#pragma once

#include "oleanderledge/control/Announcement.hpp"
#include "oleanderledge/control/ClassTable.hpp"
#include "oleanderledge/transport/HttpReply.hpp"

#include <QHttpServer>
#include <QJsonObject>
#include <QObject>

#include <functional>
#include <memory>
#include <string>

namespace oleanderledge {

class HttpForwarder;

/// What the HTTP interface needs of the daemon.
class ControlHttpHandler
{
public:
  using OperatorCallback = std::function<void(int, const QJsonObject&)>;

  virtual ~ControlHttpHandler() = default;
  virtual void HandleAnnouncement(const Announcement& aAnnouncement) = 0;
  /// True if this member leads and may answer as current.
  virtual bool IsCurrentLeader() const = 0;
  /// HTTP address of the leader, or empty if there is none.
  virtual std::string LeaderHttpAddress() const = 0;
  virtual void ChangeClassNow(const ChangeClass& aChange, OperatorCallback aCallback) = 0;
  virtual QJsonObject Classes() const = 0;
  virtual QJsonObject History() const = 0;
  /// Status with the proxies that are behind a version; 0 for the present configuration.
  virtual QJsonObject Status(std::uint64_t aVersion) const = 0;
  virtual bool IsReady() const = 0;
  virtual QByteArray Metrics() const = 0;
};

/// HTTP interface of a control process (section 3.5 and 9).
class ControlHttp : public QObject
{
  Q_OBJECT

public:
  ControlHttp(ControlHttpHandler& aHandler, QObject* aParent);

  /// Opens "ip:port". Fails with ListenFailed.
  Result<void> Listen(const std::string& aAddress);

private:
  void AddRoutes();
  /// Runs `aLocal` on the leader, or forwards the request to it.
  void Serve(const QHttpServerRequest& aRequest,
             const HttpReply& aReply,
             const std::function<void(ControlHttpHandler::OperatorCallback)>& aLocal);

  ControlHttpHandler& handler;
  HttpForwarder* forwarder;
  QHttpServer server;
};

} // namespace oleanderledge
