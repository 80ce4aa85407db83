#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace oleanderledge {

/// Transaction state of a session or of a connection to a backend server.
enum class TransactionState : std::uint8_t
{
  Idle,
  Open,
  Failed, ///< Only COMMIT or ROLLBACK is accepted.
};

/// Kinds of requests. BeginRead starts a read-only transaction.
enum class StatementKind : std::uint8_t
{
  Begin,
  BeginRead,
  Commit,
  Rollback,
  Read,
  Write,
  Set,
  Prepare,
  Execute,
  Deallocate,
  Malformed,
};

/// One request of a caller.
struct Statement
{
  std::string id;
  StatementKind kind = StatementKind::Malformed;
  std::string text;     ///< As received.
  std::string name;     ///< Name of the setting or prepared statement.
  std::string argument; ///< Setting value, template to prepare, or arguments to execute with.
  bool writes = false;  ///< True for Write and for Prepare of a write.
};

/// First message of a caller.
struct StartUp
{
  std::string database;
  std::string key; ///< Identifies the organisation of the caller. Must not be logged.
};

struct Terminate
{};

using CallerMessage = std::variant<StartUp, Statement, Terminate>;

/// Statement failures on the wire, from backend servers and towards callers.
enum class StatementError : std::uint8_t
{
  // Guaranteed: the attempt has no effect.
  Unavailable,
  Aborted,  ///< The transaction was rolled back.
  Lagging,  ///< The server's log does not contain the position that the read requires.
  ReadOnly, ///< The server is not the primary.
  Misrouted,
  Overloaded,
  // No general guarantee whether the attempt has an effect; see MeansNotExecuted().
  Unknown, ///< The connection was lost before the answer.
  TimedOut,
  Failed,
  UnknownDatabase,
  UnknownStatement,
  Malformed,
  Unauthenticated, ///< The caller has no valid key; nothing was executed.
};

/// True if a backend server that returns this error did not execute the statement, so that it can
/// be retried.
bool MeansNotExecuted(StatementError aError);

/// Stable lower-case name, for logs and metrics.
std::string_view ToString(StatementError aError);

/// One row of a result. In all answers `raw` is the message as received, for forwarding.
struct RowAnswer
{
  std::string raw;
};

/// Successful end of a statement.
struct CompletedAnswer
{
  std::string raw;
};

struct ErrorAnswer
{
  StatementError error = StatementError::Failed;
  std::string raw;
};

/// Last message of each answer and of the start-up.
struct ReadyAnswer
{
  TransactionState state = TransactionState::Idle;
  std::optional<LogPosition> position; ///< Of the server's log, if it sent one.
};

using BackendAnswer = std::variant<RowAnswer, CompletedAnswer, ErrorAnswer, ReadyAnswer>;

} // namespace oleanderledge
