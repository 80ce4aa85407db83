#include "oleanderledge/platform/ReadinessServer.hpp"

#include "oleanderledge/transport/transport.hpp"

#include <QHostAddress>
#include <QHttpServerResponse>

namespace oleanderledge::platform {

ReadinessServer::ReadinessServer(std::function<bool()> aIsReady, QObject* aParent)
  : QObject(aParent)
{
  using StatusCode = QHttpServerResponse::StatusCode;
  this->server.route(
    "/api/readiness", QHttpServerRequest::Method::Get, [isReady = std::move(aIsReady)] {
      return QHttpServerResponse(isReady() ? StatusCode::Ok : StatusCode::ServiceUnavailable);
    });
}

Result<void> ReadinessServer::Listen(const std::string& aAddress)
{
  const auto [host, port] = SplitAddress(aAddress);
  if (this->server.listen(QHostAddress(QString::fromStdString(host)), port) == 0) {
    return Fail(ResultCode::ListenFailed, aAddress + ": the readiness port cannot be opened");
  }
  RetryAcceptingAfterErrors(this->server);
  return boost::outcome_v2::success();
}

} // namespace oleanderledge::platform
