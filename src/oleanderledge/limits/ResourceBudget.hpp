#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oleanderledge {

/// Kind of port that a client is connected to. Each kind is served by one thread.
enum class ClientPort : std::uint8_t
{
  Callers,
  Links,
  Http,
};

/// Why a connection of a client was closed or not accepted.
enum class ClosingReason : std::uint8_t
{
  Connections,        ///< Too many connections of the process.
  AddressConnections, ///< Too many connections of one source address.
  TotalBytes,         ///< The process holds too many bytes; this client held most of them.
  ClientBytes,        ///< The client made the process keep too many bytes.
  MessageTooLarge,
  MalformedMessage,
  StartUpTime,  ///< No start-up arrived in time.
  MessageTime,  ///< A message that was begun was not completed in time.
  ResponseTime, ///< A response was not read in time.
};

/// Stable lower-case name, for logs and metrics.
std::string_view ToString(ClosingReason aReason);
std::string_view ToString(ClientPort aPort);

/// Limits of a process for all of its clients together.
struct BudgetLimits
{
  /// Bytes received and not processed, kept by sessions, or sent and not read.
  std::uint64_t bytes = std::uint64_t{ 24 } * 1024 * 1024;
  /// A client that holds fewer bytes than this is never closed because of `bytes`.
  std::uint64_t sparedBytes = std::uint64_t{ 8 } * 1024;
  std::uint32_t connections = 20'000;
  std::uint32_t connectionsPerAddress = 20'000;
  /// Statements that were received but not answered; see AllowsStatement().
  std::uint32_t statements = 20'000;
};

/// What a process holds for its clients, and which of them to close when that exceeds a limit.
/// Thread-safe. It closes nothing itself: each port calls TakeClosings() in its own thread, after
/// it has received bytes and at least every 100 ms.
class ResourceBudget
{
public:
  using ClientId = std::uint64_t;

  /// A client that has to be closed.
  struct Closing
  {
    ClientId client = 0;
    ClosingReason reason = ClosingReason::TotalBytes;
  };

  /// Result of Admit(): a client, or the reason why it is refused.
  struct Admission
  {
    ClientId client = 0;
    std::optional<ClosingReason> refusal;
  };

  explicit ResourceBudget(const BudgetLimits& aLimits);

  /// Registers a new connection. At the limit of connections, the client that has waited longest
  /// without a start-up is marked for closing; the new one is refused if there is none.
  Admission Admit(ClientPort aPort, std::string_view aSourceAddress);
  /// Unregisters a connection that has closed. No effect for an unknown id.
  void Remove(ClientId aClient);

  /// The client has identified itself, so it is not closed in favour of new connections.
  void MarkStarted(ClientId aClient);
  /// Sets what is held for a client. No effect for an unknown id.
  void SetHeld(ClientId aClient, std::uint64_t aBytes, std::uint32_t aStatements = 0);

  /// Returns the clients of a port that must be closed now, each once. While the total of bytes
  /// exceeds its limit, those that hold most bytes are closed first, of any port.
  std::vector<Closing> TakeClosings(ClientPort aPort);

  /// False while the process holds so many statements that a new one has to be refused.
  bool AllowsStatement() const;

  /// Counts and logs a connection that was closed or refused. The address must not be empty.
  void RecordClosing(ClientPort aPort,
                     ClosingReason aReason,
                     std::string_view aSourceAddress,
                     std::uint64_t aBytes);

  // Gauges, and totals since the start.
  std::uint64_t HeldBytes() const;
  std::uint64_t HeldStatements() const;
  std::uint64_t ConnectionCount() const;
  std::map<ClosingReason, std::uint64_t> ClosingCounts() const;

private:
  struct Client
  {
    ClientPort port = ClientPort::Callers;
    std::string address;
    std::uint64_t bytes = 0;
    std::uint32_t statements = 0;
    bool isStarted = false;
    bool isMarked = false; ///< To be closed; not part of the totals any more.
  };

  /// Removes a client from the totals and has its port close it.
  void Mark(ClientId aId, Client& aClient, ClosingReason aReason);
  void RemoveFromTotals(ClientId aId, const Client& aClient);

  const BudgetLimits limits;
  mutable std::mutex mutex; ///< Guards all members below.
  ClientId lastId = 0;
  std::map<ClientId, Client> clients;
  std::set<std::pair<std::uint64_t, ClientId>> byBytes; ///< Clients that are not marked.
  std::set<ClientId> notStarted;                        ///< Oldest first; not marked.
  std::map<std::string, std::uint32_t, std::less<>> countByAddress;
  std::map<ClientPort, std::vector<Closing>> marked; ///< Not yet taken.
  std::uint64_t totalBytes = 0;
  std::uint64_t totalStatements = 0;
  std::map<ClosingReason, std::uint64_t> closingCounts;
};

} // namespace oleanderledge
