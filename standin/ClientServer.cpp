#include "ClientServer.hpp"

#include <algorithm>

namespace oleanderledge::stand_in {

ClientServer::ClientServer(SlotContext& aContext, QObject* aParent)
  : QObject(aParent)
  , context(aContext)
  , address(ParseAddress(aContext.settings.clientAddress))
{
  QObject::connect(&this->server, &QTcpServer::newConnection, this, &ClientServer::AcceptPending);
}

bool ClientServer::Listen()
{
  if (this->server.isListening()) {
    return true;
  }
  if (!this->server.listen(this->address.host, this->address.port)) {
    return false;
  }
  this->address.port = this->server.serverPort();
  return true;
}

void ClientServer::Stop()
{
  this->server.close();
  for (ClientSession* session : std::vector(this->sessions)) {
    session->Abort();
  }
}

void ClientServer::CloseSessions(std::string_view aSqlstate, std::string_view aMessage)
{
  for (ClientSession* session : std::vector(this->sessions)) {
    session->CloseWithError(aSqlstate, aMessage);
  }
}

void ClientServer::Thaw()
{
  for (ClientSession* session : std::vector(this->sessions)) {
    session->Thaw();
  }
}

void ClientServer::Cancel(std::uint32_t aProcessId, std::uint32_t aSecret)
{
  for (ClientSession* session : std::vector(this->sessions)) {
    if (aProcessId != 0 && session->ProcessId() == aProcessId && session->Secret() == aSecret) {
      session->Cancel();
    }
  }
}

int ClientServer::ConnectionCount() const
{
  return static_cast<int>(
    std::count_if(this->sessions.begin(), this->sessions.end(), [](const ClientSession* aSession) {
      return aSession->CountsAsConnection();
    }));
}

void ClientServer::AcceptPending()
{
  while (QTcpSocket* socket = this->server.nextPendingConnection()) {
    auto* session = new ClientSession(this->context, *this, socket);
    this->sessions.push_back(session);
    QObject::connect(session, &ClientSession::Closed, this, [this, session] {
      std::erase(this->sessions, session);
    });
  }
}

} // namespace oleanderledge::stand_in
