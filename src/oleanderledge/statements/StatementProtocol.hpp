#pragma once

#include "oleanderledge/statements/StatementTypes.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Splits and decodes the bytes of one caller's connection.
class CallerDecoder
{
public:
  virtual ~CallerDecoder() = default;
  virtual void Append(std::string_view aBytes) = 0;
  /// The next whole message, nothing if more bytes are needed, or an error after which the
  /// connection cannot be used.
  virtual std::optional<Result<CallerMessage>> Next() = 0;
};

/// Splits and decodes the bytes of one backend server's connection.
class BackendDecoder
{
public:
  virtual ~BackendDecoder() = default;
  virtual void Append(std::string_view aBytes) = 0;
  virtual std::optional<Result<BackendAnswer>> Next() = 0;
};

/// The wire format of statements, towards callers and towards backend servers. Stateless.
class StatementProtocol
{
public:
  virtual ~StatementProtocol() = default;

  virtual std::unique_ptr<CallerDecoder> NewCallerDecoder() const = 0;
  virtual std::unique_ptr<BackendDecoder> NewBackendDecoder() const = 0;

  // Answers to callers.
  virtual std::string Ready(TransactionState aState) const = 0;
  /// A statement that the proxy carried out itself.
  virtual std::string Completed() const = 0;
  virtual std::string Failure(StatementError aError, std::string_view aText) const = 0;

  // Requests to backend servers.
  virtual std::string StartUpFor(std::string_view aService, std::string_view aBackend) const = 0;
  /// A caller's statement, unchanged. With a position, it only runs on a log that has it.
  virtual std::string Forward(std::string_view aId,
                              std::string_view aText,
                              const std::optional<LogPosition>& aAwait) const = 0;
  virtual std::string Begin() const = 0;
  virtual std::string Rollback() const = 0;
  /// Clears settings and prepared statements of the connection.
  virtual std::string Discard() const = 0;
  virtual std::string Set(std::string_view aName, std::string_view aValue) const = 0;
  virtual std::string Prepare(std::string_view aName,
                              bool aWrites,
                              std::string_view aShape) const = 0;
  /// Asks a backend server for its state.
  virtual std::string Status() const = 0;
  /// The received position in the rows that answer Status(), or nothing if they cannot be read.
  virtual std::optional<LogPosition> ParseReceivedPosition(std::string_view aRows) const = 0;
  /// A caller's execution of a prepared statement, under the name that it has on the connection.
  virtual std::string Execute(std::string_view aId,
                              std::string_view aName,
                              std::string_view aArguments,
                              const std::optional<LogPosition>& aAwait) const = 0;
};

} // namespace oleanderledge
