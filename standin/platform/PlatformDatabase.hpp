#pragma once

#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace standin {

/// State that the databases of one service share: the log of the present term.
struct PlatformGroup
{
  std::string service;
  std::uint64_t term = 1;
  std::uint64_t number = 0; ///< Of the last commit.
  std::string primary;      ///< Id of the database that leads.
  std::map<std::string, std::string> items;
  /// Ids of statements that ran, in order, with the database that ran them.
  std::vector<std::pair<std::string, std::string>> runs;
};

/// Stand-in for a database of the platform, in one process with the test: the line protocol, roles,
/// positions and transactions, with faults that a test switches on.
class PlatformDatabase : public QObject
{
  Q_OBJECT

public:
  PlatformDatabase(PlatformGroup& aGroup, std::string aId, QObject* aParent = nullptr);

  ~PlatformDatabase() override;

  /// Listens on a free port of 127.0.0.1 and returns the address.
  std::string Listen();
  const std::string& Id() const { return this->id; }
  std::size_t ConnectionCount() const { return this->connections.size(); }
  std::size_t MostConnections() const { return this->mostConnections; }
  /// Drops all connections and refuses new ones.
  void Crash();

  /// Commits that this replica has not applied.
  std::uint64_t behind = 0;
  /// Statements are read and never answered.
  bool silent = false;
  /// The next write or commit takes effect, and the connection closes without an answer.
  bool losesNextAnswer = false;
  /// Connections accepted at once; others are refused.
  std::size_t connectionLimit = 100;

private:
  struct Connection
  {
    std::string buffer;
    bool isStarted = false;
    bool inTransaction = false;
    bool isReadOnly = false;
    bool hasFailed = false;
    std::map<std::string, std::string> settings;
    std::map<std::string, std::pair<bool, std::string>> prepared;
    std::map<std::string, std::string> writes;
  };

  void Accept();
  void ReadFrom(QTcpSocket* aSocket);
  void HandleLine(QTcpSocket* aSocket, Connection& aConnection, const std::string& aLine);
  void HandleQuery(QTcpSocket* aSocket,
                   Connection& aConnection,
                   const std::string& aId,
                   std::string aText);
  void Complete(QTcpSocket* aSocket, const Connection& aConnection, const std::string& aRows = "");
  void Refuse(QTcpSocket* aSocket, Connection& aConnection, const std::string& aCode);
  void Commit(const std::map<std::string, std::string>& aWrites);
  std::string Ready(const Connection& aConnection) const;
  std::uint64_t Applied() const
  {
    return this->group.number - std::min(this->behind, this->group.number);
  }
  bool Leads() const { return this->group.primary == this->id; }

  PlatformGroup& group;
  std::string id;
  QTcpServer server;
  std::map<QTcpSocket*, Connection> connections;
  std::size_t mostConnections = 0;
};

} // namespace standin
