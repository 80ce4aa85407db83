#pragma once

#include "oleanderledge/link/ServerPosition.hpp"
#include "oleanderledge/statements/StatementTypes.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Incremental decoder for the byte stream of one caller.
class CallerDecoder
{
public:
  virtual ~CallerDecoder() = default;
  virtual void Append(std::string_view aBytes) = 0;
  /// Returns the next complete message, std::nullopt if more bytes are needed, or an error
  /// (ProtocolViolation, MessageTooLarge) after which the connection must be closed.
  virtual std::optional<Result<CallerMessage>> Next() = 0;
  /// Bytes that were appended and do not belong to a message that Next() returned.
  virtual std::size_t BufferedBytes() const = 0;
  /// Discards these bytes and frees their memory.
  virtual void Clear() = 0;
};

/// Incremental decoder for the byte stream of one connection to a backend server.
class BackendDecoder
{
public:
  virtual ~BackendDecoder() = default;
  virtual void Append(std::string_view aBytes) = 0;
  /// As CallerDecoder::Next().
  virtual std::optional<Result<BackendAnswer>> Next() = 0;
};

/// Wire format of statements, towards callers and towards backend servers. The functions that
/// return a string encode one message. Stateless.
class StatementProtocol
{
public:
  virtual ~StatementProtocol() = default;

  virtual std::unique_ptr<CallerDecoder> NewCallerDecoder() const = 0;
  virtual std::unique_ptr<BackendDecoder> NewBackendDecoder() const = 0;

  // Answers to callers.
  virtual std::string Ready(TransactionState aState) const = 0;
  /// Success of a statement that the proxy executed itself.
  virtual std::string Completed() const = 0;
  virtual std::string Failure(StatementError aError, std::string_view aText) const = 0;

  // Requests to backend servers.
  /// `aOrganisation` is the one that the connection is used for; empty: none.
  virtual std::string StartUpFor(std::string_view aService,
                                 std::string_view aOrganisation,
                                 std::string_view aBackend) const = 0;
  /// A caller's statement, unchanged. With `aAwait`, the backend server executes it only if its log
  /// contains that position, and otherwise answers Lagging.
  virtual std::string Forward(std::string_view aId,
                              std::string_view aText,
                              const std::optional<LogPosition>& aAwait) const = 0;
  /// Begins a read-write transaction, which a server that is not the primary rejects as ReadOnly.
  virtual std::string Begin() const = 0;
  /// Begins a read-only transaction at a server whose log contains the position. Another one
  /// answers Lagging.
  virtual std::string BeginReadAt(const LogPosition& aPosition) const = 0;
  virtual std::string Rollback() const = 0;
  /// Resets settings and prepared statements of the connection.
  virtual std::string Discard() const = 0;
  virtual std::string Set(std::string_view aName, std::string_view aValue) const = 0;
  virtual std::string Prepare(std::string_view aName,
                              bool aWrites,
                              std::string_view aTemplate) const = 0;
  /// Requests the state of the backend server.
  virtual std::string Status() const = 0;
  /// Parses the rows that answer Status(); std::nullopt if they are malformed.
  virtual std::optional<ServerPosition> ParseStatus(std::string_view aRows) const = 0;
  /// Executes a prepared statement. `aName` is its name on the connection, not the caller's.
  /// `aAwait` as in Forward().
  virtual std::string Execute(std::string_view aId,
                              std::string_view aName,
                              std::string_view aArguments,
                              const std::optional<LogPosition>& aAwait) const = 0;
};

} // namespace oleanderledge
