#include "standin/platform/PlatformDatabase.hpp"

#include <QHostAddress>

#include <algorithm>
#include <sstream>

namespace standin {

namespace {

std::string TakeWord(std::string& aText)
{
  const std::size_t end = aText.find(' ');
  std::string word = aText.substr(0, end);
  aText = end == std::string::npos ? "" : aText.substr(end + 1);
  return word;
}

void Send(QTcpSocket* aSocket, const std::string& aText)
{
  aSocket->write(aText.data(), static_cast<qint64>(aText.size()));
}

} // namespace

PlatformDatabase::PlatformDatabase(PlatformGroup& aGroup, std::string aId, QObject* aParent)
  : QObject(aParent)
  , group(aGroup)
  , id(std::move(aId))
{
  QObject::connect(&this->server, &QTcpServer::newConnection, this, &PlatformDatabase::Accept);
}

PlatformDatabase::~PlatformDatabase()
{
  for (const auto& [socket, connection] : this->connections) {
    socket->disconnect(this);
  }
}

std::string PlatformDatabase::Listen()
{
  this->server.listen(QHostAddress::LocalHost, 0);
  return "127.0.0.1:" + std::to_string(this->server.serverPort());
}

void PlatformDatabase::Crash()
{
  this->server.close();
  for (const auto& [socket, connection] : std::map(this->connections)) {
    socket->abort();
  }
}

void PlatformDatabase::Accept()
{
  while (QTcpSocket* socket = this->server.nextPendingConnection()) {
    this->connections.emplace(socket, Connection{});
    this->mostConnections = std::max(this->mostConnections, this->connections.size());
    QObject::connect(
      socket, &QTcpSocket::readyRead, this, [this, socket] { this->ReadFrom(socket); });
    QObject::connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
      this->connections.erase(socket);
      socket->deleteLater();
    });
  }
}

void PlatformDatabase::ReadFrom(QTcpSocket* aSocket)
{
  const auto found = this->connections.find(aSocket);
  if (found == this->connections.end()) {
    return;
  }
  Connection& connection = found->second;
  connection.buffer += aSocket->readAll().toStdString();
  for (std::size_t end = connection.buffer.find("\r\n"); end != std::string::npos;
       end = connection.buffer.find("\r\n")) {
    const std::string line = connection.buffer.substr(0, end);
    connection.buffer.erase(0, end + 2);
    this->HandleLine(aSocket, connection, line);
    if (!this->connections.contains(aSocket)) {
      return;
    }
  }
}

void PlatformDatabase::HandleLine(QTcpSocket* aSocket,
                                  Connection& aConnection,
                                  const std::string& aLine)
{
  std::string rest = aLine;
  const std::string word = TakeWord(rest);
  if (this->silent || word == "TERMINATE") {
    return;
  }
  if (word == "STARTUP") {
    const std::string service = TakeWord(rest);
    aConnection.user = TakeWord(rest);
    const bool isWrong = service != this->group.service || (!rest.empty() && rest != this->id);
    const bool isFull = this->connections.size() > this->connectionLimit;
    if (isWrong || isFull) {
      Send(aSocket, isWrong ? "ERROR MISROUTED -\r\n" : "ERROR OVERLOAD -\r\n");
      aSocket->disconnectFromHost();
      return;
    }
    Send(aSocket, this->Ready(aConnection));
    return;
  }
  const std::string statementId = TakeWord(rest);
  this->group.users[statementId] = aConnection.user;
  this->HandleQuery(aSocket, aConnection, statementId, rest);
}

void PlatformDatabase::HandleQuery(QTcpSocket* aSocket,
                                   Connection& aConnection,
                                   const std::string& aId,
                                   std::string aText)
{
  std::string verb = TakeWord(aText);
  if (verb == "AWAIT") {
    const std::string position = TakeWord(aText);
    const std::size_t dot = position.find('.');
    const bool lacks = std::stoull(position.substr(0, dot)) > this->group.term ||
                       std::stoull(position.substr(dot + 1)) > this->Applied();
    if (lacks) {
      this->SendError(aSocket, aConnection, "LAGGING");
      return;
    }
    verb = TakeWord(aText);
  }
  if (verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || verb == "COMMIT") {
    if (this->onNewWork && (!aConnection.inTransaction || !aConnection.hasRun)) {
      this->onNewWork(aId);
    }
    aConnection.hasRun = aConnection.inTransaction;
  }
  const bool lostLead = aConnection.inTransaction && !aConnection.isReadOnly && !this->IsPrimary();
  if (verb == "ROLLBACK") {
    aConnection.inTransaction = false;
    aConnection.hasFailed = false;
    aConnection.writes.clear();
  } else if (aConnection.hasFailed) {
    this->SendError(aSocket, aConnection, "MALFORMED");
    return;
  } else if (lostLead && !(verb == "COMMIT" && aConnection.writes.empty())) {
    this->SendError(aSocket, aConnection, "READONLY");
    return;
  } else if (verb == "BEGIN") {
    if (aText.empty() && !this->IsPrimary()) {
      this->SendError(aSocket, aConnection, "READONLY");
      return;
    }
    this->group.runs.emplace_back(verb, this->id);
    aConnection.inTransaction = true;
    aConnection.hasRun = false;
    aConnection.isReadOnly = aText == "READ";
  } else if (verb == "SET") {
    const std::string name = TakeWord(aText);
    aConnection.settings[name] = aText;
  } else if (verb == "DISCARD") {
    this->group.runs.emplace_back(verb, this->id);
    aConnection.settings.clear();
    aConnection.prepared.clear();
  } else if (verb == "PREPARE") {
    const std::string name = TakeWord(aText);
    const bool writes = TakeWord(aText) == "WRITE";
    aConnection.prepared[name] = { writes, aText };
  } else if (verb == "DEALLOCATE") {
    aConnection.prepared.erase(aText);
  } else if (verb == "COMMIT") {
    this->group.runs.emplace_back(aId, this->id);
    aConnection.inTransaction = false;
    if (!aConnection.writes.empty()) {
      this->Commit(aConnection.writes);
      aConnection.writes.clear();
    }
    if (std::exchange(this->losesNextAnswer, false)) {
      aSocket->abort();
      return;
    }
  } else if (verb == "READ" || verb == "WRITE" || verb == "EXECUTE") {
    bool writes = verb == "WRITE";
    if (verb == "EXECUTE") {
      const auto known = aConnection.prepared.find(TakeWord(aText));
      if (known == aConnection.prepared.end()) {
        this->SendError(aSocket, aConnection, "NOSTMT");
        return;
      }
      writes = known->second.first;
    }
    if (writes && !this->IsPrimary()) {
      this->SendError(aSocket, aConnection, "READONLY");
      return;
    }
    this->group.runs.emplace_back(aId, this->id);
    const std::string item = TakeWord(aText);
    if (!writes) {
      // The response contains the settings, so that a test can check which were in effect.
      std::string rows = "DATAROW " + this->group.items[item];
      for (const auto& [name, value] : aConnection.settings) {
        rows.append(" ").append(name).append("=").append(value);
      }
      this->SendComplete(aSocket, aConnection, rows + "\r\n");
      return;
    }
    if (aConnection.inTransaction) {
      aConnection.writes[item] = aText;
    } else {
      this->Commit({ { item, aText } });
      if (std::exchange(this->losesNextAnswer, false)) {
        aSocket->abort();
        return;
      }
    }
  }
  this->SendComplete(aSocket, aConnection);
}

void PlatformDatabase::Commit(const std::map<std::string, std::string>& aWrites)
{
  ++this->group.number;
  for (const auto& [item, data] : aWrites) {
    this->group.items[item] = data;
  }
}

void PlatformDatabase::SendComplete(QTcpSocket* aSocket,
                                    const Connection& aConnection,
                                    const std::string& aRows)
{
  Send(aSocket, aRows + "COMPLETE signature-" + this->id + "\r\n" + this->Ready(aConnection));
}

void PlatformDatabase::SendError(QTcpSocket* aSocket,
                                 Connection& aConnection,
                                 const std::string& aCode)
{
  aConnection.hasFailed = aConnection.inTransaction;
  Send(aSocket, "ERROR " + aCode + " " + this->id + "\r\n" + this->Ready(aConnection));
}

std::string PlatformDatabase::Ready(const Connection& aConnection) const
{
  const char* state = aConnection.hasFailed ? "E" : (aConnection.inTransaction ? "T" : "I");
  return std::string("READY ") + state + " " + std::to_string(this->group.term) + "." +
         std::to_string(this->Applied()) + "\r\n";
}

} // namespace standin
