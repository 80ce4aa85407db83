#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace oleanderledge {

/// Where a session stands with respect to transactions.
enum class TransactionState : std::uint8_t
{
  Idle,
  Open,
  Failed, ///< Only its end is accepted.
};

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
  std::string text;     ///< As the caller sent it.
  std::string name;     ///< Of the setting or prepared statement.
  std::string argument; ///< Value of the setting, shape to prepare, or arguments to execute.
  bool writes = false;  ///< Write, or Prepare of a write.
};

/// A caller's first message.
struct StartUp
{
  std::string database;
  std::string caller;
};

struct Terminate
{};

using CallerMessage = std::variant<StartUp, Statement, Terminate>;

/// Failures of statements as both sides of the protocol tell them.
enum class StatementError : std::uint8_t
{
  // Promises: nothing of the attempt is kept.
  Unavailable,
  Aborted,
  Lagging,
  ReadOnly,
  Misrouted,
  Overloaded,
  // No promise.
  Unknown,
  TimedOut,
  Failed,
  UnknownDatabase,
  UnknownStatement,
  Malformed,
};

/// True if a backend server that answers with this error has not run the statement.
bool IsNotRun(StatementError aError);

/// Stable lower-case name, for logs and metrics.
std::string_view ToString(StatementError aError);

/// Parts of a backend server's answer. `raw` is the message as received, to be passed on.
struct RowAnswer
{
  std::string raw;
};

struct CompletedAnswer
{
  std::string raw;
};

struct ErrorAnswer
{
  StatementError error = StatementError::Failed;
  std::string raw;
};

/// Ends each answer, and the start-up.
struct ReadyAnswer
{
  TransactionState state = TransactionState::Idle;
  std::optional<LogPosition> position;
};

using BackendAnswer = std::variant<RowAnswer, CompletedAnswer, ErrorAnswer, ReadyAnswer>;

} // namespace oleanderledge
