#include "oleanderledge/platform/ReadinessServer.hpp"

namespace oleanderledge::platform {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;

} // namespace

ReadinessServer::ReadinessServer(std::function<bool()> aIsReady, QObject* aParent)
  : ReadinessServer(std::move(aIsReady), nullptr, aParent)
{
}

ReadinessServer::ReadinessServer(std::function<bool()> aIsReady,
                                 std::shared_ptr<HttpClients> aClients,
                                 QObject* aParent)
  : QObject(aParent)
  , server(std::move(aClients), nullptr)
{
  this->server.AddRoute(
    "GET",
    "/api/readiness",
    [isReady = std::move(aIsReady)](const HttpRequest&, const HttpReply& aReply) {
      aReply.Send(isReady() ? kHttpOk : kHttpUnavailable, "application/x-empty", {});
    });
}

Result<void> ReadinessServer::Listen(const std::string& aAddress)
{
  if (!this->server.Listen(aAddress)) {
    return Fail(ResultCode::ListenFailed, aAddress + ": the readiness port cannot be opened");
  }
  return boost::outcome_v2::success();
}

} // namespace oleanderledge::platform
