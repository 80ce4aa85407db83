#pragma once

#include "DelayLine.hpp"
#include "SlotContext.hpp"
#include "Statement.hpp"
#include "StatementRunner.hpp"

#include "oleanderledge/wire/wire.hpp"

#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace oleanderledge::stand_in {

class ClientServer;

/// One client connection: framing, start-up, and the simple and extended query protocol.
class ClientSession : public QObject
{
  Q_OBJECT

public:
  ClientSession(SlotContext& aContext, ClientServer& aServer, QTcpSocket* aSocket);

  /// Process id of the cancel key (BackendKeyData); 0 before the start-up message is accepted.
  std::uint32_t ProcessId() const { return this->processId; }
  std::uint32_t Secret() const { return this->secret; }
  bool CountsAsConnection() const { return this->processId != 0 && !this->closed; }

  void Cancel() { this->runner.Cancel(); }

  /// Sends a fatal error and closes.
  void CloseWithError(std::string_view aSqlstate, std::string_view aMessage);

  /// Closes the connection without a message.
  void Abort();

  /// Resumes after a freeze of the slot.
  void Thaw();

Q_SIGNALS:
  /// Emitted exactly once; the session deletes itself afterwards.
  void Closed();

private:
  struct Portal
  {
    Statement statement;
    Parameters parameters;
    std::optional<StatementResult> result; ///< Present once executed.
    std::size_t sentRows = 0;
  };

  void ReadSocket();
  void ProcessAvailable();
  bool ProcessStartup();
  bool ProcessMessage();
  void HandleStartup(const StartupMessage& aMessage);
  void AcceptSession();
  void HandleMessage(const MessageView& aMessage);

  void HandleQuery(FieldReader aBody);
  void RunNextQueryStatement();
  void HandleQueryResult(const Statement& aStatement, const StatementResult& aResult);
  void HandleParse(FieldReader aBody);
  void HandleBind(FieldReader aBody);
  void HandleDescribe(FieldReader aBody);
  void HandleExecute(FieldReader aBody);
  void HandleClose(FieldReader aBody);
  void HandleSync();
  void HandleExecuteResult(const std::string& aPortal, StatementResult aResult);
  void SendPortalRows(Portal& aPortal, std::int32_t aMaxRows);

  void AfterStatement(const Statement& aStatement);
  void SendError(const SqlError& aError);
  void FailUntilSync(const SqlError& aError);
  void SendNotice(const StatementResult& aResult);
  void SendReady();
  void Send(std::string_view aBytes) { this->output.append(aBytes); }
  void FlushOutput();
  void CloseSocket(bool aGracefully);

  SlotContext& context;
  ClientServer& server;
  QTcpSocket* socket;
  MessageReader reader;
  DelayLine inbound;
  DelayLine outbound;
  StatementRunner runner;
  std::string output;
  std::uint32_t processId = 0;
  std::uint32_t secret = 0;
  bool ready = false;            ///< Start-up is complete.
  bool awaitsCompletion = false; ///< Start-up or a statement is in progress.
  bool processingInput = false;  ///< Prevents re-entry when a statement completes synchronously.
  bool skipUntilSync = false;
  bool closed = false;
  bool acceptDeferredByFreeze = false;
  std::deque<Statement> queryStatements;
  std::map<std::string, Statement, std::less<>> prepared;
  std::map<std::string, Portal, std::less<>> portals;
  std::vector<std::pair<std::string, std::string>> lastReportedSettings;
  std::int32_t executeMaxRows = 0;
};

} // namespace oleanderledge::stand_in
