#pragma once

#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace standin {

/// State shared by the databases of one service: the log of the current term.
struct PlatformGroup
{
  std::string service;
  std::uint64_t term = 1;
  std::uint64_t number = 0; ///< Number of the last commit.
  std::string primary;      ///< Id of the primary database.
  std::map<std::string, std::string> items;
  /// Ids of statements that ran, in order, with the database that ran them. BEGIN and DISCARD
  /// are recorded by their verb instead of an id.
  std::vector<std::pair<std::string, std::string>> runs;
  /// User that opened the connection on which each statement ran, by id of the statement.
  std::map<std::string, std::string> users;
};

/// In-process test double for a database of the platform: the line protocol, roles, positions and
/// transactions, with faults that a test can enable.
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
  /// Highest number of simultaneous connections so far, including refused ones.
  std::size_t MostConnections() const { return this->mostConnections; }
  /// Closes all connections and refuses new ones.
  void Crash();

  /// Number of commits that this replica has not applied. Affects only the position that is
  /// reported and that AWAIT checks: reads return the latest data.
  std::uint64_t behind = 0;
  /// If set, all messages, start-up included, are read and never answered.
  bool silent = false;
  /// If set, the next write or commit takes effect, but the connection closes without a response.
  bool losesNextAnswer = false;
  /// Maximum number of simultaneous connections; further ones are refused.
  std::size_t connectionLimit = 100;
  /// Called with the id of each single statement, and of the first one of each transaction, when it
  /// arrives.
  std::function<void(const std::string& aId)> onNewWork;

private:
  struct Connection
  {
    std::string buffer;
    std::string user; ///< Second field of the start-up.
    bool isStarted = false;
    bool inTransaction = false;
    bool hasRun = false; ///< A statement of the transaction has arrived.
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
  void SendComplete(QTcpSocket* aSocket,
                    const Connection& aConnection,
                    const std::string& aRows = "");
  void SendError(QTcpSocket* aSocket, Connection& aConnection, const std::string& aCode);
  void Commit(const std::map<std::string, std::string>& aWrites);
  std::string Ready(const Connection& aConnection) const;
  std::uint64_t Applied() const
  {
    return this->group.number - std::min(this->behind, this->group.number);
  }
  bool IsPrimary() const { return this->group.primary == this->id; }

  PlatformGroup& group;
  std::string id;
  QTcpServer server;
  std::map<QTcpSocket*, Connection> connections;
  std::size_t mostConnections = 0;
};

} // namespace standin
