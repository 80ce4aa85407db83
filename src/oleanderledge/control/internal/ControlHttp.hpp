#pragma once

#include "oleanderledge/control/Announcement.hpp"
#include "oleanderledge/control/ClassTable.hpp"
#include "oleanderledge/transport/HttpServer.hpp"

#include <QJsonObject>
#include <QObject>

#include <functional>
#include <memory>
#include <string>

namespace oleanderledge {

class HttpForwarder;

/// Operations that the HTTP interface calls on the daemon.
class ControlHttpHandler
{
public:
  /// Takes the HTTP status and the body of the answer.
  using OperatorCallback = std::function<void(int, const QJsonObject&)>;

  virtual ~ControlHttpHandler() = default;
  virtual void HandleAnnouncement(const Announcement& aAnnouncement) = 0;
  /// True if this member leads and holds the leader lease, so that its answers are current.
  virtual bool IsCurrentLeader() const = 0;
  /// HTTP address ("ip:port") of the leader, or empty if no leader is known.
  virtual std::string LeaderHttpAddress() const = 0;
  /// Replicates a class change. A repeated request gets the answer to the first one. Leader only.
  virtual void HandleClassChange(const ChangeClass& aChange, OperatorCallback aCallback) = 0;
  virtual QJsonObject Classes() const = 0;
  virtual QJsonObject ClassHistory() const = 0;
  /// Status, with the proxies that do not have the configuration version `aVersion` (a log index)
  /// yet; 0 stands for the present version.
  virtual QJsonObject Status(std::uint64_t aVersion) const = 0;
  /// True if a current leader is known, which may be this member, and the process is not stopping.
  virtual bool IsReady() const = 0;
  /// Metrics in the Prometheus text format.
  virtual QByteArray Metrics() const = 0;
};

/// HTTP interface of a control process: announcements of backend servers, operator requests, health
/// checks and metrics. Operator requests may be sent to any member, and the leader answers them.
class ControlHttp : public QObject
{
  Q_OBJECT

public:
  ControlHttp(ControlHttpHandler& aHandler,
              std::shared_ptr<HttpClients> aClients,
              QObject* aParent);

  /// Opens "ip:port". Fails with ListenFailed.
  Result<void> Listen(const std::string& aAddress);

private:
  void AddRoutes();
  /// Runs `aAnswerLocally` if this member is the current leader, or else forwards the request to
  /// the leader. Answers 503 with NoQuorum if no leader is known, if the leader does not answer, or
  /// if the request was forwarded already.
  void AnswerOnLeader(
    const HttpRequest& aRequest,
    const HttpReply& aReply,
    const std::function<void(ControlHttpHandler::OperatorCallback)>& aAnswerLocally);

  ControlHttpHandler& handler;
  HttpForwarder* forwarder;
  HttpServer server;
};

} // namespace oleanderledge
