#include "ClientSession.hpp"

#include "ClientServer.hpp"
#include "SqlText.hpp"

#include <QRandomGenerator>

namespace oleanderledge::stand_in {

namespace {

constexpr std::size_t kMaxMessageBytes = std::size_t{ 64 } * 1024 * 1024;

std::string BuildNegotiateProtocolVersion(const std::vector<std::string>& aUnsupported)
{
  std::string body(4, '\0'); // newest supported minor version: 0
  const auto count = static_cast<std::uint32_t>(aUnsupported.size());
  for (const unsigned shift : { 24U, 16U, 8U, 0U }) {
    body.push_back(static_cast<char>((count >> shift) & 0xFFU));
  }
  for (const std::string& option : aUnsupported) {
    body.append(option);
    body.push_back('\0');
  }
  return BuildMessage('v', body);
}

/// Reads a list of format codes. Returns false if one of them is binary.
bool ReadFormats(FieldReader& aReader)
{
  bool allText = true;
  const std::int16_t count = aReader.ReadInt16();
  for (std::int16_t at = 0; at < count && aReader.IsValid(); ++at) {
    allText = aReader.ReadInt16() == 0 && allText;
  }
  return allText;
}

Parameters ReadParameters(FieldReader& aReader)
{
  Parameters parameters;
  const std::int16_t count = aReader.ReadInt16();
  for (std::int16_t at = 0; at < count && aReader.IsValid(); ++at) {
    const std::int32_t length = aReader.ReadInt32();
    if (length < 0) {
      parameters.emplace_back(std::nullopt);
      continue;
    }
    parameters.emplace_back(std::string(aReader.ReadBytes(static_cast<std::size_t>(length))));
  }
  return parameters;
}

SqlError MalformedMessage()
{
  return { "08P01", "the message is malformed" };
}

} // namespace

ClientSession::ClientSession(SlotContext& aContext, ClientServer& aServer, QTcpSocket* aSocket)
  : QObject(&aServer)
  , context(aContext)
  , server(aServer)
  , socket(aSocket)
  , reader(kMaxMessageBytes)
  , inbound(
      Duration{ aContext.settings.clientLatencyUs },
      [this](const std::string& aBytes) {
        this->reader.Feed(aBytes);
        this->ProcessAvailable();
      },
      nullptr)
  , outbound(
      Duration{ aContext.settings.clientLatencyUs },
      [this](const std::string& aBytes) {
        this->socket->write(aBytes.data(), static_cast<qint64>(aBytes.size()));
      },
      nullptr)
  , runner(aContext, nullptr)
{
  this->socket->setParent(this);
  this->socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  QObject::connect(this->socket, &QTcpSocket::readyRead, this, &ClientSession::ReadSocket);
  QObject::connect(
    this->socket, &QTcpSocket::disconnected, this, [this] { this->CloseSocket(false); });
}

void ClientSession::ReadSocket()
{
  if (this->closed) {
    return;
  }
  this->inbound.Push(this->socket->readAll().toStdString());
}

void ClientSession::ProcessAvailable()
{
  if (this->processingInput) {
    return;
  }
  this->processingInput = true;
  while (!this->closed && !this->awaitsCompletion && !this->context.frozen) {
    if (!(this->ready ? this->ProcessMessage() : this->ProcessStartup())) {
      break;
    }
  }
  this->processingInput = false;
  this->FlushOutput();
}

// --- Start-up ------------------------------------------------------------------------------------

bool ClientSession::ProcessStartup()
{
  const auto packet = this->reader.NextUntyped();
  if (!packet) {
    this->CloseWithError("08P01", packet.error().message);
    return false;
  }
  if (!packet.value()) {
    return false;
  }
  const auto parsed = ParseStartupPacket(*packet.value());
  if (!parsed) {
    this->CloseWithError(InfoOf(parsed.error().code).sqlstate, parsed.error().message);
    return false;
  }
  if (std::holds_alternative<EncryptionRequest>(parsed.value())) {
    this->Send("N");
    return true;
  }
  if (const auto* cancel = std::get_if<CancelRequest>(&parsed.value())) {
    this->server.Cancel(cancel->processId, cancel->secret);
    this->CloseSocket(true);
    return false;
  }
  this->HandleStartup(std::get<StartupMessage>(parsed.value()));
  return true;
}

void ClientSession::HandleStartup(const StartupMessage& aMessage)
{
  if (aMessage.database != this->context.settings.database) {
    this->CloseWithError("3D000", "database \"" + aMessage.database + "\" does not exist");
    return;
  }
  if (this->server.ConnectionCount() >= this->context.settings.connectionLimit) {
    this->CloseWithError("53300", "sorry, too many clients already");
    return;
  }
  SessionSettings& settings = this->runner.Settings();
  settings.SetFixed("session_authorization", aMessage.user);
  settings.SetFixed("in_hot_standby", this->context.store.IsPrimary() ? "off" : "on");
  for (const auto& [name, value] : aMessage.parameters) {
    if (const auto error = settings.SetInitial(name, value)) {
      this->CloseWithError(error->sqlstate, error->message);
      return;
    }
  }
  if (aMessage.minorVersion > 0 || !aMessage.unsupportedOptions.empty()) {
    this->Send(BuildNegotiateProtocolVersion(aMessage.unsupportedOptions));
  }
  this->processId = this->server.AssignProcessId();
  this->secret = QRandomGenerator::global()->generate();
  this->awaitsCompletion = true;
  QTimer::singleShot(
    this->context.settings.connectDelayMs, Qt::PreciseTimer, this, &ClientSession::AcceptSession);
}

void ClientSession::AcceptSession()
{
  if (this->closed) {
    return;
  }
  if (this->context.frozen) {
    this->acceptDeferredByFreeze = true;
    return;
  }
  this->Send(BuildAuthenticationOk());
  this->lastReportedSettings = this->runner.Settings().Reported();
  for (const auto& [name, value] : this->lastReportedSettings) {
    this->Send(BuildParameterStatus(name, value));
  }
  this->Send(BuildBackendKeyData(this->processId, this->secret));
  this->Send(BuildReadyForQuery('I'));
  this->ready = true;
  this->awaitsCompletion = false;
  this->ProcessAvailable();
}

// --- Messages ------------------------------------------------------------------------------------

bool ClientSession::ProcessMessage()
{
  const auto message = this->reader.NextTyped();
  if (!message) {
    this->CloseWithError("08P01", message.error().message);
    return false;
  }
  if (!message.value()) {
    return false;
  }
  for (const MessageView& view : SplitMessages(*message.value())) {
    this->HandleMessage(view);
  }
  return true;
}

void ClientSession::HandleMessage(const MessageView& aMessage)
{
  if (aMessage.type == 'X') {
    this->CloseSocket(true);
    return;
  }
  if (aMessage.type == 'S') {
    this->HandleSync();
    return;
  }
  if (this->skipUntilSync) {
    return;
  }
  switch (aMessage.type) {
    case 'Q':
      this->HandleQuery(FieldReader(aMessage.body));
      break;
    case 'P':
      this->HandleParse(FieldReader(aMessage.body));
      break;
    case 'B':
      this->HandleBind(FieldReader(aMessage.body));
      break;
    case 'D':
      this->HandleDescribe(FieldReader(aMessage.body));
      break;
    case 'E':
      this->HandleExecute(FieldReader(aMessage.body));
      break;
    case 'C':
      this->HandleClose(FieldReader(aMessage.body));
      break;
    case 'H':
      this->FlushOutput();
      break;
    case 'F':
      this->SendError({ "0A000", "function calls are not supported" });
      this->SendReady();
      break;
    case 'd':
    case 'c':
    case 'f':
      break; // COPY data that follows a rejected COPY.
    default:
      this->CloseWithError("08P01",
                           "invalid message type " +
                             std::to_string(static_cast<unsigned char>(aMessage.type)));
      break;
  }
}

// --- Simple query --------------------------------------------------------------------------------

void ClientSession::HandleQuery(FieldReader aBody)
{
  const std::string_view sql = aBody.ReadString();
  if (!aBody.IsValid()) {
    this->CloseWithError("08P01", MalformedMessage().message);
    return;
  }
  this->portals.erase(std::string());
  this->queryStatements.clear();
  for (const std::string& part : SplitStatements(sql)) {
    this->queryStatements.push_back(ParseStatement(part));
  }
  if (this->queryStatements.empty()) {
    this->Send(BuildEmptyMessage('I'));
    this->SendReady();
    return;
  }
  this->awaitsCompletion = true;
  this->RunNextQueryStatement();
}

void ClientSession::RunNextQueryStatement()
{
  const Statement statement = std::move(this->queryStatements.front());
  this->queryStatements.pop_front();
  this->runner.Run(statement, {}, [this, statement](const StatementResult& aResult) {
    this->HandleQueryResult(statement, aResult);
  });
}

void ClientSession::HandleQueryResult(const Statement& aStatement, const StatementResult& aResult)
{
  std::optional<SqlError> error = aResult.error;
  if (!error && this->queryStatements.empty()) {
    // The transaction is committed before the last statement is confirmed.
    error = this->runner.EndBatch();
  }
  this->SendNotice(aResult);
  if (error) {
    this->queryStatements.clear();
    this->SendError(*error);
    this->runner.EndBatch();
  } else {
    this->AfterStatement(aStatement);
    if (!aResult.columns.empty()) {
      this->Send(BuildRowDescription(aResult.columns));
      for (const auto& row : aResult.rows) {
        this->Send(BuildDataRow(row));
      }
    }
    this->Send(BuildCommandComplete(aResult.tag));
  }
  if (!this->queryStatements.empty()) {
    this->RunNextQueryStatement();
    return;
  }
  this->awaitsCompletion = false;
  this->SendReady();
  this->ProcessAvailable();
}

// --- Extended query ------------------------------------------------------------------------------

void ClientSession::HandleParse(FieldReader aBody)
{
  const std::string name(aBody.ReadString());
  const std::string sql(aBody.ReadString());
  if (!aBody.IsValid()) {
    this->FailUntilSync(MalformedMessage());
    return;
  }
  const auto parts = SplitStatements(sql);
  if (parts.size() > 1) {
    this->FailUntilSync({ "42601", "cannot insert multiple commands into a prepared statement" });
    return;
  }
  if (!name.empty() && this->prepared.contains(name)) {
    this->FailUntilSync({ "42P05", "prepared statement \"" + name + "\" already exists" });
    return;
  }
  Statement statement = ParseStatement(parts.empty() ? std::string() : parts.front());
  if (const auto shape = this->runner.Describe(statement); shape.error) {
    this->FailUntilSync(*shape.error);
    return;
  }
  this->prepared.insert_or_assign(name, std::move(statement));
  this->Send(BuildEmptyMessage('1'));
}

void ClientSession::HandleBind(FieldReader aBody)
{
  const std::string portal(aBody.ReadString());
  const std::string_view name = aBody.ReadString();
  const bool parametersAreText = ReadFormats(aBody);
  Parameters parameters = ReadParameters(aBody);
  const bool resultsAreText = ReadFormats(aBody);
  if (!aBody.IsValid()) {
    this->FailUntilSync(MalformedMessage());
    return;
  }
  if (!parametersAreText || !resultsAreText) {
    this->FailUntilSync({ "0A000", "only the text format is supported" });
    return;
  }
  const auto found = this->prepared.find(name);
  if (found == this->prepared.end()) {
    this->FailUntilSync(
      { "26000", "prepared statement \"" + std::string(name) + "\" does not exist" });
    return;
  }
  const auto expected =
    static_cast<std::size_t>(this->runner.Describe(found->second).parameterCount);
  if (parameters.size() != expected) {
    this->FailUntilSync({ "08P01",
                          "bind message supplies " + std::to_string(parameters.size()) +
                            " parameters, but the statement requires " +
                            std::to_string(expected) });
    return;
  }
  this->portals.insert_or_assign(portal,
                                 Portal{ found->second, std::move(parameters), std::nullopt, 0 });
  this->Send(BuildEmptyMessage('2'));
}

void ClientSession::HandleDescribe(FieldReader aBody)
{
  const char kind = static_cast<char>(aBody.ReadByte());
  const std::string_view name = aBody.ReadString();
  if (!aBody.IsValid() || (kind != 'S' && kind != 'P')) {
    this->FailUntilSync(MalformedMessage());
    return;
  }
  const Statement* statement = nullptr;
  if (const auto found = this->prepared.find(name); kind == 'S' && found != this->prepared.end()) {
    statement = &found->second;
  }
  if (const auto found = this->portals.find(name); kind == 'P' && found != this->portals.end()) {
    statement = &found->second.statement;
  }
  if (statement == nullptr) {
    this->FailUntilSync(kind == 'S' ? SqlError{ "26000", "prepared statement does not exist" }
                                    : SqlError{ "34000", "portal does not exist" });
    return;
  }
  const StatementShape shape = this->runner.Describe(*statement);
  if (shape.error) {
    this->FailUntilSync(*shape.error);
    return;
  }
  if (kind == 'S') {
    this->Send(BuildParameterDescription(static_cast<std::size_t>(shape.parameterCount)));
  }
  this->Send(shape.columns.empty() ? BuildEmptyMessage('n') : BuildRowDescription(shape.columns));
}

void ClientSession::HandleExecute(FieldReader aBody)
{
  const std::string name(aBody.ReadString());
  this->executeMaxRows = aBody.ReadInt32();
  const auto found = this->portals.find(name);
  if (!aBody.IsValid() || found == this->portals.end()) {
    this->FailUntilSync(aBody.IsValid() ? SqlError{ "34000", "portal does not exist" }
                                        : MalformedMessage());
    return;
  }
  if (found->second.result) {
    this->SendPortalRows(found->second, this->executeMaxRows);
    return;
  }
  this->awaitsCompletion = true;
  this->runner.Run(
    found->second.statement, found->second.parameters, [this, name](StatementResult aResult) {
      this->HandleExecuteResult(name, std::move(aResult));
    });
}

void ClientSession::HandleExecuteResult(const std::string& aPortal, StatementResult aResult)
{
  this->awaitsCompletion = false;
  this->SendNotice(aResult);
  if (aResult.error) {
    this->FailUntilSync(*aResult.error);
    this->ProcessAvailable();
    return;
  }
  Portal& portal = this->portals.at(aPortal);
  const Statement statement = portal.statement;
  portal.result = std::move(aResult);
  this->SendPortalRows(portal, this->executeMaxRows);
  this->AfterStatement(statement);
  this->ProcessAvailable();
}

void ClientSession::SendPortalRows(Portal& aPortal, std::int32_t aMaxRows)
{
  const StatementResult& result = *aPortal.result;
  if (aPortal.statement.kind == StatementKind::Empty) {
    this->Send(BuildEmptyMessage('I'));
    return;
  }
  std::int32_t sent = 0;
  while (aPortal.sentRows < result.rows.size()) {
    if (aMaxRows > 0 && sent == aMaxRows) {
      this->Send(BuildEmptyMessage('s'));
      return;
    }
    this->Send(BuildDataRow(result.rows[aPortal.sentRows]));
    ++aPortal.sentRows;
    ++sent;
  }
  this->Send(BuildCommandComplete(result.tag));
}

void ClientSession::HandleClose(FieldReader aBody)
{
  const char kind = static_cast<char>(aBody.ReadByte());
  const std::string_view name = aBody.ReadString();
  if (!aBody.IsValid() || (kind != 'S' && kind != 'P')) {
    this->FailUntilSync(MalformedMessage());
    return;
  }
  if (kind == 'S') {
    this->prepared.erase(std::string(name));
  } else {
    this->portals.erase(std::string(name));
  }
  this->Send(BuildEmptyMessage('3'));
}

void ClientSession::HandleSync()
{
  this->skipUntilSync = false;
  if (const auto error = this->runner.EndBatch()) {
    this->SendError(*error);
  }
  if (this->runner.Status() == 'I') {
    this->portals.clear();
  }
  this->SendReady();
}

// --- Output --------------------------------------------------------------------------------------

void ClientSession::AfterStatement(const Statement& aStatement)
{
  const bool all = aStatement.kind == StatementKind::Discard
                     ? aStatement.name == "ALL" || aStatement.name == "PLANS"
                     : aStatement.kind == StatementKind::Deallocate && aStatement.name == "ALL";
  if (all) {
    this->prepared.clear();
  } else if (aStatement.kind == StatementKind::Deallocate) {
    this->prepared.erase(aStatement.name);
  }
}

void ClientSession::SendError(const SqlError& aError)
{
  this->Send(BuildErrorResponse("ERROR", aError.sqlstate, aError.message));
}

void ClientSession::FailUntilSync(const SqlError& aError)
{
  this->SendError(aError);
  this->runner.FailTransaction();
  this->skipUntilSync = true;
}

void ClientSession::SendNotice(const StatementResult& aResult)
{
  if (!aResult.notice.empty()) {
    this->Send(BuildNoticeResponse("01000", aResult.notice));
  }
}

void ClientSession::SendReady()
{
  const auto now = this->runner.Settings().Reported();
  for (std::size_t at = 0; at < now.size(); ++at) {
    if (now[at] != this->lastReportedSettings[at]) {
      this->Send(BuildParameterStatus(now[at].first, now[at].second));
    }
  }
  this->lastReportedSettings = now;
  this->Send(BuildReadyForQuery(this->runner.Status()));
}

void ClientSession::FlushOutput()
{
  if (this->output.empty() || this->closed) {
    return;
  }
  this->outbound.Push(std::exchange(this->output, {}));
}

// --- Closing -------------------------------------------------------------------------------------

void ClientSession::CloseWithError(std::string_view aSqlstate, std::string_view aMessage)
{
  this->Send(BuildErrorResponse("FATAL", aSqlstate, aMessage));
  this->CloseSocket(true);
}

void ClientSession::Abort()
{
  this->CloseSocket(false);
}

void ClientSession::Thaw()
{
  if (this->acceptDeferredByFreeze) {
    this->acceptDeferredByFreeze = false;
    this->AcceptSession();
  }
  this->runner.Thaw();
  this->ProcessAvailable();
}

void ClientSession::CloseSocket(bool aGracefully)
{
  if (this->closed) {
    return;
  }
  if (aGracefully) {
    this->FlushOutput();
    this->outbound.Flush();
  }
  this->closed = true;
  this->runner.Stop();
  if (aGracefully) {
    this->socket->disconnectFromHost();
  } else {
    this->socket->abort();
  }
  Q_EMIT this->Closed();
  // The socket still sends buffered bytes before it is deleted.
  if (this->socket->state() == QAbstractSocket::UnconnectedState) {
    this->deleteLater();
    return;
  }
  QObject::connect(this->socket, &QTcpSocket::disconnected, this, &QObject::deleteLater);
}

} // namespace oleanderledge::stand_in
