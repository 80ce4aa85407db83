#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/wire/wire.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// A prepared statement of a caller's session.
struct SessionStatement
{
  std::string parseMessage; ///< The caller's whole Parse message.
  RecognizedStatement recognized;
};

/// Prepared statements by name. The empty name is the unnamed statement.
using SessionStatements = std::map<std::string, SessionStatement, std::less<>>;

/// One message of a unit and the statement that it refers to.
struct UnitMessage
{
  MessageView view;
  RecognizedStatement statement; ///< For Query, Parse, Bind, Describe and Execute.
  std::string statementName;     ///< For Parse, Bind, and Describe and Close of a statement.
  bool refersToStatement = false;
  bool refersToPortal = false; ///< Describe and Close of a portal.
};

/// The messages of a unit with the statements that they prepare, use and execute.
struct UnitAnalysis
{
  std::vector<UnitMessage> messages;
  /// Statements of Query and Execute messages, in order.
  std::vector<RecognizedStatement> executed;
  /// Names of statements that this unit uses and an earlier unit prepared.
  std::vector<std::string> usedStatements;
  /// Names of statements that this unit uses and that are not prepared.
  std::vector<std::string> unknownStatements;

  /// Kind of the executed statement if there is exactly one, otherwise Other.
  StatementKind SoleStatementKind() const;
};

/// Parses the messages of a unit. `aStatements` are the statements that earlier units prepared. The
/// views in the result point into `aPayload`. Fails with ProtocolViolation if a message is
/// malformed.
Result<UnitAnalysis> AnalyzeUnit(std::string_view aPayload, const SessionStatements& aStatements);

/// Returns the Parse message `aMessage` with its query text replaced by `aSql`.
std::string ReplaceParseText(std::string_view aMessage, std::string_view aSql);

} // namespace oleanderledge
