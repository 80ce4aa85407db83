#pragma once

#include "oleanderledge/transport/HttpClients.hpp"
#include "oleanderledge/transport/HttpReply.hpp"
#include "oleanderledge/transport/HttpRequestReader.hpp"

#include <QObject>
#include <QTcpServer>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oleanderledge {

/// Handles a request; may answer through the reply after it has returned.
using HttpHandler = std::function<void(const HttpRequest&, const HttpReply&)>;

/// HTTP/1.1 server for clients that may not behave: it bounds their connections, requests and times
/// (HttpLimits) and what it holds for them (ResourceBudget).
class HttpServer : public QObject
{
  Q_OBJECT

public:
  /// Without `aClients`, the server has default limits of its own.
  explicit HttpServer(std::shared_ptr<HttpClients> aClients, QObject* aParent);
  ~HttpServer() override;

  /// Adds a handler for a method and a path. A "*" as last part of the path stands for any one
  /// part, for example "/items/*". Requests without a handler get the status 404.
  void AddRoute(std::string aMethod, std::string aPath, HttpHandler aHandler);

  /// Opens "ip:port". Returns false if that fails.
  bool Listen(const std::string& aAddress);

private:
  struct Route
  {
    std::string method;
    std::string path;
    HttpHandler handler;
  };

  void AcceptPending();
  /// Closes the connection that has waited longest for a request, to make room for another.
  bool CloseLongestWaiting();
  void Handle(HttpConnection& aConnection, const HttpRequest& aRequest) const;

  std::shared_ptr<HttpClients> clients;
  QTcpServer server;
  std::vector<Route> routes;
  std::vector<HttpConnection*> connections;
};

} // namespace oleanderledge
