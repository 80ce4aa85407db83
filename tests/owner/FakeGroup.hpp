#pragma once

#include "oleanderledge/owner/internal/OwnerTypes.hpp"
#include "oleanderledge/wire/wire.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace oleanderledge {

/// Fake slots of one database for tests of the owner: one log, slots that replicate it, and
/// connections. Requests and responses on a connection wait until the test executes or delivers
/// them.
///
/// Supported statements: `WRITE session value channel`, `READ session channel`, BEGIN, COMMIT,
/// ROLLBACK, and the owner's own statements.
class FakeGroup
{
public:
  struct Record
  {
    std::string session;
    int value = 0;
    std::string requestId;
    std::string tag;
  };

  struct Slot
  {
    bool isPrimary = false;
    std::uint64_t term = 1;
    std::size_t received = 0;
    std::size_t applied = 0;
  };

  struct Connection
  {
    std::string slot;
    char status = 'I';
    std::deque<std::string> inbox;  ///< Messages from the owner that are not yet executed.
    std::deque<std::string> outbox; ///< Messages from the server that are not yet delivered.
    std::vector<Record> uncommitted;
    std::string requestId;
    std::string transactionChannel; ///< Channel that used the open transaction last.
    int statements = 0;             ///< Number of callers' statements that were executed.
    bool cancelled = false;
    bool stopped = false; ///< Receives no further messages.
  };

  std::map<std::string, Slot> slots;
  std::vector<Record> log;
  std::map<ConnectionId, Connection> connections;
  bool mixedTransactions = false;           ///< A transaction contained statements of two channels.
  std::set<std::string> executedStatements; ///< Callers' statements that any server executed.

  void Open(ConnectionId aId, const std::string& aSlot) { this->connections[aId].slot = aSlot; }

  void Receive(ConnectionId aId, const std::string& aBytes)
  {
    for (const MessageView& message : SplitMessages(aBytes)) {
      const auto found = this->connections.find(aId);
      if (found != this->connections.end() && !found->second.stopped) {
        found->second.inbox.emplace_back(message.whole);
      }
    }
  }

  /// Executes the next message in the connection's inbox, which must not be empty.
  void ExecuteNext(ConnectionId aId)
  {
    Connection& connection = this->connections.at(aId);
    const std::string message = connection.inbox.front();
    connection.inbox.pop_front();
    FieldReader reader(std::string_view(message).substr(5));
    this->Execute(connection, std::string(reader.ReadString()));
  }

  void Replicate(const std::string& aSlot, std::size_t aReceived, std::size_t aApplied)
  {
    Slot& slot = this->slots.at(aSlot);
    slot.received = std::max(slot.received, std::min(aReceived, this->log.size()));
    slot.applied = std::max(slot.applied, std::min(aApplied, slot.received));
  }

  SlotStatus StatusOf(const std::string& aSlot, Instant aQueriedAt) const
  {
    const Slot& slot = this->slots.at(aSlot);
    const std::size_t received = slot.isPrimary ? this->log.size() : slot.received;
    const std::size_t applied = slot.isPrimary ? this->log.size() : slot.applied;
    return { aSlot, slot.isPrimary, slot.term, received, applied, aQueriedAt };
  }

  /// Makes another slot the primary. Log records that it has not received are lost on all slots.
  void Promote(const std::string& aSlot, std::uint64_t aTerm)
  {
    this->log.resize(this->slots.at(aSlot).received);
    for (auto& [name, slot] : this->slots) {
      slot.isPrimary = name == aSlot;
      slot.term = aTerm;
      slot.received = std::min(slot.received, this->log.size());
      slot.applied = std::min(slot.applied, slot.received);
    }
    // Connections to other slots stop at once; the owner is told later.
    for (auto& [id, connection] : this->connections) {
      if (connection.slot != aSlot) {
        connection.inbox.clear();
        connection.uncommitted.clear();
        connection.stopped = true;
      }
    }
  }

  /// Closes the connection at the server, without telling the owner.
  void BreakConnection(ConnectionId aId) { this->connections.erase(aId); }

private:
  static std::vector<std::string> Words(const std::string& aSql)
  {
    std::vector<std::string> words(1);
    for (const char character : aSql) {
      if (character == ' ') {
        words.emplace_back();
      } else {
        words.back().push_back(character);
      }
    }
    return words;
  }

  void Execute(Connection& aConnection, const std::string& aSql)
  {
    const auto words = Words(aSql);
    if (aConnection.cancelled) {
      aConnection.cancelled = false;
      this->Fail(aConnection, "57014");
    } else if (aConnection.status == 'E' && words[0] != "ROLLBACK" && words[0] != "COMMIT") {
      this->Fail(aConnection, "25P02");
    } else {
      this->ExecuteWords(aConnection, aSql, words);
    }
    aConnection.outbox.push_back(BuildReadyForQuery(aConnection.status));
  }

  void ExecuteWords(Connection& aConnection,
                    const std::string& aSql,
                    const std::vector<std::string>& aWords)
  {
    const std::string& verb = aWords[0];
    if (aSql == "SELECT * FROM platform_status()") {
      const SlotStatus status = this->StatusOf(aConnection.slot, {});
      const std::array<std::optional<std::string>, 4> row{ status.isPrimary ? "primary" : "replica",
                                                           std::to_string(status.term),
                                                           std::to_string(status.received),
                                                           std::to_string(status.applied) };
      aConnection.outbox.push_back(BuildDataRow(row));
      this->Complete(aConnection, "SELECT 1");
    } else if (verb == "BEGIN") {
      aConnection.status = 'T';
      this->Complete(aConnection, "BEGIN");
    } else if (verb == "COMMIT" && aConnection.status != 'E') {
      this->Commit(aConnection);
      this->Complete(aConnection, "COMMIT");
    } else if (verb == "ROLLBACK" || verb == "COMMIT") {
      this->EndTransaction(aConnection);
      this->Complete(aConnection, "ROLLBACK");
    } else if (verb == "WRITE" || verb == "READ") {
      this->ExecuteStatement(aConnection, aSql, aWords);
    } else if (aSql.starts_with("SELECT command_tag")) {
      this->LookUpRequest(aConnection, aWords.back());
    } else if (aSql.starts_with("INSERT INTO oleanderledge_requests")) {
      this->RecordRequest(aConnection, aSql);
    } else {
      // SET, RESET, DISCARD ALL, CREATE TABLE, UPDATE of the command tag.
      this->Complete(aConnection, verb + (verb == "UPDATE" ? " 1" : ""));
    }
  }

  void ExecuteStatement(Connection& aConnection,
                        const std::string& aSql,
                        const std::vector<std::string>& aWords)
  {
    this->executedStatements.insert(aSql);
    ++aConnection.statements;
    const std::string& channel = aWords.back();
    if (aConnection.status == 'T') {
      if (!aConnection.transactionChannel.empty() && aConnection.transactionChannel != channel) {
        this->mixedTransactions = true;
      }
      aConnection.transactionChannel = channel;
    }
    const Slot& slot = this->slots.at(aConnection.slot);
    if (aWords[0] == "READ") {
      // Returns the number of visible writes of the session. Unlike the last value, it must never
      // decrease.
      const std::size_t visible = slot.isPrimary ? this->log.size() : slot.applied;
      const auto count =
        std::count_if(this->log.begin(),
                      this->log.begin() + static_cast<std::ptrdiff_t>(visible),
                      [&](const Record& aRecord) { return aRecord.session == aWords[1]; });
      const std::array<std::optional<std::string>, 1> row{ std::to_string(count) };
      aConnection.outbox.push_back(BuildDataRow(row));
      this->Complete(aConnection, "SELECT 1");
      return;
    }
    if (!slot.isPrimary) {
      this->Fail(aConnection, "25006");
      return;
    }
    aConnection.uncommitted.push_back({ aWords[1], std::stoi(aWords[2]), "", "" });
    if (aConnection.status == 'I') {
      this->Commit(aConnection);
    }
    this->Complete(aConnection, "INSERT 0 1");
  }

  void LookUpRequest(Connection& aConnection, const std::string& aQuotedId)
  {
    for (const Record& record : this->log) {
      if (QuoteLiteral(record.requestId) == aQuotedId) {
        const std::array<std::optional<std::string>, 1> row{ "INSERT 0 1" };
        aConnection.outbox.push_back(BuildDataRow(row));
      }
    }
    this->Complete(aConnection, "SELECT 1");
  }

  void RecordRequest(Connection& aConnection, const std::string& aSql)
  {
    const std::size_t start = aSql.find('\'') + 1;
    const std::string id = aSql.substr(start, aSql.find('\'', start) - start);
    for (const auto& [other, connection] : this->connections) {
      if (&connection != &aConnection && connection.requestId == id) {
        this->Fail(aConnection, "23505");
        return;
      }
    }
    for (const Record& record : this->log) {
      if (record.requestId == id) {
        this->Fail(aConnection, "23505");
        return;
      }
    }
    aConnection.requestId = id;
    this->Complete(aConnection, "INSERT 0 1");
  }

  void Commit(Connection& aConnection)
  {
    for (Record& record : aConnection.uncommitted) {
      record.requestId = aConnection.requestId;
      this->log.push_back(record);
    }
    this->EndTransaction(aConnection);
  }

  void EndTransaction(Connection& aConnection)
  {
    aConnection.uncommitted.clear();
    aConnection.requestId.clear();
    aConnection.transactionChannel.clear();
    aConnection.status = 'I';
  }

  void Complete(Connection& aConnection, const std::string& aTag)
  {
    aConnection.outbox.push_back(BuildCommandComplete(aTag));
  }

  void Fail(Connection& aConnection, const std::string& aSqlstate)
  {
    aConnection.outbox.push_back(BuildErrorResponse("ERROR", aSqlstate, "failed"));
    if (aConnection.status == 'T') {
      aConnection.status = 'E';
    }
  }
};

} // namespace oleanderledge
