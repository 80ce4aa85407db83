#include "oleanderledge/transport/DeferredRoute.hpp"

#include <QHttpServer>
#include <QHttpServerRouter>
#include <QHttpServerRouterRule>

namespace oleanderledge {

void AddDeferredRoute(QHttpServer& aServer,
                      const char* aPath,
                      QHttpServerRequest::Methods aMethods,
                      DeferredHandler aHandler)
{
  // A handler of the rule itself gets the socket, so that HttpReply can tell when it is deleted.
  auto rule = std::make_unique<QHttpServerRouterRule>(
    QString::fromLatin1(aPath),
    aMethods,
    [handle = std::move(aHandler)](const QRegularExpressionMatch& /*aMatch*/,
                                   const QHttpServerRequest& aRequest,
                                   QTcpSocket* aSocket) { handle(aRequest, HttpReply(aSocket)); });
  using ViewHandler = std::function<void(const QHttpServerRequest&)>;
  aServer.router()->addRule<ViewHandler>(std::move(rule));
}

} // namespace oleanderledge
