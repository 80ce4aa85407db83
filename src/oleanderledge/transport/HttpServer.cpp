#include "oleanderledge/transport/HttpServer.hpp"

#include "oleanderledge/transport/AcceptRetry.hpp"
#include "oleanderledge/transport/HttpConnection.hpp"
#include "oleanderledge/transport/LinkConnection.hpp"

#include <QHostAddress>

#include <algorithm>

namespace oleanderledge {

namespace {

/// Connections that may wait to be accepted. All backend servers may register at once.
constexpr int kListenBacklog = 256;
constexpr int kNotFound = 404;

bool IsMatch(std::string_view aPattern, std::string_view aPath)
{
  if (!aPattern.ends_with("/*")) {
    return aPattern == aPath;
  }
  aPattern.remove_suffix(1);
  return aPath.size() > aPattern.size() && aPath.starts_with(aPattern) &&
         aPath.find('/', aPattern.size()) == std::string_view::npos;
}

} // namespace

HttpServer::HttpServer(std::shared_ptr<HttpClients> aClients, QObject* aParent)
  : QObject(aParent)
  , clients(aClients != nullptr
              ? std::move(aClients)
              : std::make_shared<HttpClients>(HttpLimits{},
                                              std::make_shared<ResourceBudget>(BudgetLimits{})))
{
  this->server.setListenBacklogSize(kListenBacklog);
  this->server.setMaxPendingConnections(kListenBacklog);
  QObject::connect(&this->server, &QTcpServer::newConnection, this, &HttpServer::AcceptPending);
  RetryAcceptingAfterErrors(this->server);
}

HttpServer::~HttpServer()
{
  for (HttpConnection* connection : this->connections) {
    connection->disconnect(this);
    delete connection;
  }
}

void HttpServer::AddRoute(std::string aMethod, std::string aPath, HttpHandler aHandler)
{
  this->routes.push_back({ std::move(aMethod), std::move(aPath), std::move(aHandler) });
}

bool HttpServer::Listen(const std::string& aAddress)
{
  const auto [host, port] = SplitAddress(aAddress);
  return this->server.listen(QHostAddress(QString::fromStdString(host)), port);
}

void HttpServer::AcceptPending()
{
  while (QTcpSocket* socket = this->server.nextPendingConnection()) {
    const std::string address = socket->peerAddress().toString().toStdString();
    ResourceBudget& budget = this->clients->Budget();
    if (this->connections.size() >= this->clients->Limits().connections &&
        !this->CloseLongestWaiting()) {
      budget.RecordClosing(ClientPort::Http, ClosingReason::Connections, address, 0);
      delete socket;
      continue;
    }
    const ResourceBudget::Admission admission = budget.Admit(ClientPort::Http, address);
    if (admission.refusal) {
      budget.RecordClosing(ClientPort::Http, *admission.refusal, address, 0);
      delete socket;
      continue;
    }
    auto* connection = new HttpConnection(
      socket,
      admission.client,
      this->clients,
      [this](HttpConnection& aConnection, const HttpRequest& aRequest) {
        this->Handle(aConnection, aRequest);
      },
      this);
    this->connections.push_back(connection);
    QObject::connect(connection, &HttpConnection::Closed, this, [this, connection] {
      std::erase(this->connections, connection);
    });
  }
}

bool HttpServer::CloseLongestWaiting()
{
  HttpConnection* longest = nullptr;
  Instant since = Instant::max();
  for (HttpConnection* connection : this->connections) {
    const auto waitingSince = connection->WaitingSince();
    if (waitingSince && *waitingSince < since) {
      longest = connection;
      since = *waitingSince;
    }
  }
  if (longest == nullptr) {
    return false;
  }
  longest->Abort(ClosingReason::Connections);
  return true;
}

void HttpServer::Handle(HttpConnection& aConnection, const HttpRequest& aRequest) const
{
  const std::string path = aRequest.url.path().toStdString();
  const auto found = std::ranges::find_if(this->routes, [&](const Route& aRoute) {
    return aRoute.method == aRequest.method && IsMatch(aRoute.path, path);
  });
  if (found == this->routes.end()) {
    aConnection.Answer(kNotFound, {}, {});
    return;
  }
  found->handler(aRequest, HttpReply(&aConnection));
}

} // namespace oleanderledge
