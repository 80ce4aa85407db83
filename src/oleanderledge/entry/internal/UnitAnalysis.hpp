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

/// One message of a unit and the statement it refers to.
struct UnitMessage
{
  MessageView view;
  RecognizedStatement statement; ///< For Q, P, B, D and E.
  std::string statementName;     ///< For P, B, and D and C of statements.
  bool refersToStatement = false;
  bool refersToPortal = false; ///< D and C of portals.
};

/// What the messages of a unit refer to.
struct UnitAnalysis
{
  std::vector<UnitMessage> messages;
  std::vector<RecognizedStatement> executed; ///< By Query or Execute, in order.
  /// Statements that are used here and were prepared by an earlier unit.
  std::vector<std::string> usedStatements;
  /// Names that are used but that neither this unit nor an earlier one prepared.
  std::vector<std::string> unknownStatements;

  /// Kind of the only executed statement, or Other.
  StatementKind SoleStatementKind() const;
};

/// Reads a unit of whole messages; the views in the result point into `aPayload`. Fails with
/// ProtocolViolation if a message is malformed.
Result<UnitAnalysis> AnalyzeUnit(std::string_view aPayload, const SessionStatements& aStatements);

/// A Parse message like `aMessage` with another query text.
std::string ReplaceParseText(std::string_view aMessage, std::string_view aSql);

} // namespace oleanderledge
