#include "oleanderledge/platform/WireProtocol.hpp"

#include "oleanderledge/platform/internal/LineReader.hpp"

#include <array>
#include <charconv>
#include <utility>

namespace oleanderledge::platform {

namespace {

constexpr std::array<std::pair<StatementError, std::string_view>, 13> kErrorCodes{ {
  { StatementError::Unavailable, "UNAVAIL" },
  { StatementError::Aborted, "ABORTED" },
  { StatementError::Lagging, "LAGGING" },
  { StatementError::ReadOnly, "READONLY" },
  { StatementError::Misrouted, "MISROUTED" },
  { StatementError::Overloaded, "OVERLOAD" },
  { StatementError::Unknown, "UNKNOWN" },
  { StatementError::TimedOut, "TIMEOUT" },
  { StatementError::Failed, "FAILED" },
  { StatementError::UnknownDatabase, "NODB" },
  { StatementError::UnknownStatement, "NOSTMT" },
  { StatementError::Malformed, "MALFORMED" },
  { StatementError::Unauthenticated, "NOAUTH" },
} };

std::string_view CodeOf(StatementError aError)
{
  for (const auto& [error, code] : kErrorCodes) {
    if (error == aError) {
      return code;
    }
  }
  return "FAILED";
}

/// Maps unknown codes to Failed, because nothing can be concluded from them.
StatementError ErrorOf(std::string_view aCode)
{
  for (const auto& [error, code] : kErrorCodes) {
    if (code == aCode) {
      return error;
    }
  }
  return StatementError::Failed;
}

/// Removes the first word and the blank after it from a text and returns the word.
std::string_view TakeWord(std::string_view& aText)
{
  const std::size_t end = aText.find(' ');
  const std::string_view word = aText.substr(0, end);
  aText = end == std::string_view::npos ? std::string_view{} : aText.substr(end + 1);
  return word;
}

bool IsSingleWord(std::string_view aText)
{
  return !aText.empty() && aText.find(' ') == std::string_view::npos;
}

std::optional<std::uint64_t> ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const auto [end, failure] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (failure != std::errc{} || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return number;
}

/// Parses "TERM.OFFSET". Returns nothing for "-" (no position) and for malformed text.
std::optional<LogPosition> ParsePosition(std::string_view aText)
{
  const std::size_t dot = aText.find('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const auto term = ParseNumber(aText.substr(0, dot));
  const auto number = ParseNumber(aText.substr(dot + 1));
  if (!term || !number) {
    return std::nullopt;
  }
  return LogPosition{ *term, *number };
}

/// Determines the kind of a statement from its text and sets the other members that depend on it.
StatementKind ParseStatementText(Statement& aStatement)
{
  std::string_view rest = aStatement.text;
  const std::string_view verb = TakeWord(rest);
  if (verb == "READ") {
    return IsSingleWord(rest) ? StatementKind::Read : StatementKind::Malformed;
  }
  if (verb == "WRITE") {
    aStatement.writes = true;
    return rest.find(' ') == std::string_view::npos ? StatementKind::Malformed
                                                    : StatementKind::Write;
  }
  if (verb == "BEGIN") {
    if (rest.empty()) {
      return StatementKind::Begin;
    }
    return rest == "READ" ? StatementKind::BeginRead : StatementKind::Malformed;
  }
  if (verb == "COMMIT" && rest.empty()) {
    return StatementKind::Commit;
  }
  if (verb == "ROLLBACK" && rest.empty()) {
    return StatementKind::Rollback;
  }
  aStatement.name = TakeWord(rest);
  aStatement.argument = rest;
  if (aStatement.name.empty()) {
    return StatementKind::Malformed;
  }
  if (verb == "SET") {
    return StatementKind::Set;
  }
  if (verb == "EXECUTE") {
    return rest.empty() ? StatementKind::Malformed : StatementKind::Execute;
  }
  if (verb == "DEALLOCATE") {
    return rest.empty() ? StatementKind::Deallocate : StatementKind::Malformed;
  }
  if (verb != "PREPARE") {
    return StatementKind::Malformed;
  }
  const std::string_view access = TakeWord(rest);
  aStatement.writes = access == "WRITE";
  aStatement.argument = rest;
  const bool isKnown = access == "READ" || access == "WRITE";
  return isKnown && IsSingleWord(rest) ? StatementKind::Prepare : StatementKind::Malformed;
}

class LineCallerDecoder : public CallerDecoder
{
public:
  void Append(std::string_view aBytes) override { this->lines.Append(aBytes); }
  std::size_t BufferedBytes() const override { return this->lines.BufferedBytes(); }
  void Clear() override { this->lines = {}; }

  std::optional<Result<CallerMessage>> Next() override
  {
    auto line = this->lines.Next();
    if (!line) {
      return std::nullopt;
    }
    if (!*line) {
      return Result<CallerMessage>(Fail(line->error().code, line->error().message));
    }
    return Decode(line->value());
  }

private:
  static Result<CallerMessage> Decode(std::string_view aLine)
  {
    std::string_view rest = aLine;
    const std::string_view word = TakeWord(rest);
    if (word == "QUERY") {
      Statement statement;
      statement.id = TakeWord(rest);
      statement.text = rest;
      if (statement.id.empty()) {
        return Fail(ResultCode::ProtocolViolation, "a statement has no id");
      }
      statement.kind = ParseStatementText(statement);
      return CallerMessage(std::move(statement));
    }
    if (word == "TERMINATE") {
      return CallerMessage(Terminate{});
    }
    if (word == "STARTUP") {
      StartUp startUp;
      startUp.database = TakeWord(rest);
      startUp.key = rest;
      return CallerMessage(std::move(startUp));
    }
    return Fail(ResultCode::ProtocolViolation, "unknown message");
  }

  internal::LineReader lines;
};

class LineBackendDecoder : public BackendDecoder
{
public:
  void Append(std::string_view aBytes) override { this->lines.Append(aBytes); }

  std::optional<Result<BackendAnswer>> Next() override
  {
    auto line = this->lines.Next();
    if (!line) {
      return std::nullopt;
    }
    if (!*line) {
      return Result<BackendAnswer>(Fail(line->error().code, line->error().message));
    }
    return Decode(line->value());
  }

private:
  static Result<BackendAnswer> Decode(std::string_view aLine)
  {
    std::string_view rest = aLine;
    const std::string_view word = TakeWord(rest);
    std::string raw = std::string(aLine) + "\r\n";
    if (word == "DATAROW") {
      return BackendAnswer(RowAnswer{ std::move(raw) });
    }
    if (word == "COMPLETE") {
      return BackendAnswer(CompletedAnswer{ std::move(raw) });
    }
    if (word == "ERROR") {
      return BackendAnswer(ErrorAnswer{ ErrorOf(TakeWord(rest)), std::move(raw) });
    }
    const std::string_view state = TakeWord(rest);
    if (word != "READY" || (state != "I" && state != "T" && state != "E")) {
      return Fail(ResultCode::ProtocolViolation, "unknown answer");
    }
    ReadyAnswer ready;
    ready.state = state == "I"   ? TransactionState::Idle
                  : state == "T" ? TransactionState::Open
                                 : TransactionState::Failed;
    ready.position = ParsePosition(rest);
    return BackendAnswer(ready);
  }

  internal::LineReader lines;
};

/// Name of the proxy on connections that are not used for an organisation.
constexpr std::string_view kProxyName = "oleanderledge";
/// Id of the statements that the proxy itself sends.
constexpr std::string_view kProxyStatementId = "-";

std::string Query(std::string_view aId,
                  const std::optional<LogPosition>& aAwait,
                  std::string_view aText)
{
  std::string line = "QUERY " + std::string(aId) + " ";
  if (aAwait) {
    line += "AWAIT " + std::to_string(aAwait->term) + "." + std::to_string(aAwait->offset) + " ";
  }
  return line.append(aText).append("\r\n");
}

std::string ProxyQuery(std::string_view aText)
{
  return Query(kProxyStatementId, std::nullopt, aText);
}

} // namespace

std::unique_ptr<CallerDecoder> WireProtocol::NewCallerDecoder() const
{
  return std::make_unique<LineCallerDecoder>();
}

std::unique_ptr<BackendDecoder> WireProtocol::NewBackendDecoder() const
{
  return std::make_unique<LineBackendDecoder>();
}

std::string WireProtocol::Ready(TransactionState aState) const
{
  switch (aState) {
    case TransactionState::Idle:
      return "READY I -\r\n";
    case TransactionState::Open:
      return "READY T -\r\n";
    case TransactionState::Failed:
      break;
  }
  return "READY E -\r\n";
}

std::string WireProtocol::Completed() const
{
  return "COMPLETE -\r\n";
}

std::string WireProtocol::Failure(StatementError aError, std::string_view aText) const
{
  std::string line = "ERROR " + std::string(CodeOf(aError)) + " ";
  return line.append(aText.empty() ? "-" : aText).append("\r\n");
}

std::string WireProtocol::StartUpFor(std::string_view aService,
                                     std::string_view aOrganisation,
                                     std::string_view aBackend) const
{
  const std::string_view user = aOrganisation.empty() ? kProxyName : aOrganisation;
  return "STARTUP " + std::string(aService) + " " + std::string(user) + " " +
         std::string(aBackend) + "\r\n";
}

std::string WireProtocol::Forward(std::string_view aId,
                                  std::string_view aText,
                                  const std::optional<LogPosition>& aAwait) const
{
  return Query(aId, aAwait, aText);
}

std::string WireProtocol::Begin() const
{
  return ProxyQuery("BEGIN");
}

std::string WireProtocol::BeginReadAt(const LogPosition& aPosition) const
{
  return Query("-", aPosition, "BEGIN READ");
}

std::string WireProtocol::Rollback() const
{
  return ProxyQuery("ROLLBACK");
}

std::string WireProtocol::Discard() const
{
  return ProxyQuery("DISCARD");
}

std::string WireProtocol::Set(std::string_view aName, std::string_view aValue) const
{
  return ProxyQuery("SET " + std::string(aName) + " " + std::string(aValue));
}

std::string WireProtocol::Prepare(std::string_view aName,
                                  bool aWrites,
                                  std::string_view aShape) const
{
  return ProxyQuery("PREPARE " + std::string(aName) + (aWrites ? " WRITE " : " READ ") +
                    std::string(aShape));
}

std::string WireProtocol::Status() const
{
  return ProxyQuery("STATUS");
}

std::optional<ServerPosition> WireProtocol::ParseStatus(std::string_view aRows) const
{
  // DATAROW role, term, position received, term held, lag in ms, busy, connections.
  std::string_view rest = aRows.substr(0, aRows.find('\r'));
  if (TakeWord(rest) != "DATAROW") {
    return std::nullopt;
  }
  const std::string_view role = TakeWord(rest);
  TakeWord(rest);
  const auto received = ParsePosition(TakeWord(rest));
  return received ? std::optional(ServerPosition{ *received, role == "primary" }) : std::nullopt;
}

std::string WireProtocol::Execute(std::string_view aId,
                                  std::string_view aName,
                                  std::string_view aArguments,
                                  const std::optional<LogPosition>& aAwait) const
{
  return Query(aId, aAwait, "EXECUTE " + std::string(aName) + " " + std::string(aArguments));
}

} // namespace oleanderledge::platform
