#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/SessionSetting.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderledge {

// Between proxies: a proxy that was granted no connections to a backend server uses one of a relay,
// which is a proxy that was granted some. A channel is one such use, from RelayOpen to its end, and
// is numbered by the sender of RelayOpen.

/// Request to use a connection of the relay.
struct RelayOpen
{
  std::uint64_t channel = 0;
  std::string backend;
  std::uint32_t priority = 0; ///< 0 is the most urgent.
  std::int64_t waitUs = 0;    ///< Longest time that the relay may queue the request.
  /// Settings of the session; the relay prefers a connection on which they are in force.
  std::vector<SessionSetting> settings;
  /// Organisation that the connection is used for; empty: none, or the route is public.
  std::string organisation;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->channel,
             this->backend,
             this->priority,
             this->waitUs,
             this->settings,
             this->organisation);
  }
};

/// Result of a RelayOpen.
enum class RelayOutcome : std::uint8_t
{
  Opened = 0,
  NotServing = 1,   ///< The relay is shutting down or has no connections to the server.
  NoConnection = 2, ///< No connection became free in time.
  Unreachable = 3,  ///< The server cannot be reached from the relay.
};

/// Session state of a backend connection.
struct ConnectionState
{
  /// False if it is not certain which settings are in force.
  bool settingsKnown = true;
  std::vector<SessionSetting> settings;
  std::vector<std::string> prepared; ///< Names of the prepared statements.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->settingsKnown, this->settings, this->prepared);
  }
};

/// Answer to RelayOpen. Any outcome but Opened ends the channel.
struct RelayOpened
{
  std::uint64_t channel = 0;
  RelayOutcome outcome = RelayOutcome::Opened;
  ConnectionState state;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->channel, this->outcome, this->state);
  }
};

/// One request to the backend server, encoded as it is sent there. The next one may be sent only
/// after the RelayResult.
struct RelayStatement
{
  std::uint64_t channel = 0;
  std::string request;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->channel, this->request);
  }
};

/// Answer to RelayStatement. Also sent unasked, with `lost`, if the connection to the backend
/// server is lost between two requests.
struct RelayResult
{
  std::uint64_t channel = 0;
  bool lost = false;     ///< The connection to the backend server was lost, which ends the channel.
  std::string rows;      ///< Row messages of the server as received.
  std::string completed; ///< Completion message as received; empty after an error.
  bool hasError = false;
  std::uint8_t error = 0;            ///< Value of the StatementError.
  std::string errorText;             ///< Message of the server as received.
  std::uint8_t transactionState = 0; ///< Value of the TransactionState.
  bool hasPosition = false;
  LogPosition position;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->channel,
             this->lost,
             this->rows,
             this->completed,
             this->hasError,
             this->error,
             this->errorText,
             this->transactionState,
             this->hasPosition,
             this->position);
  }
};

/// Ends a channel, or withdraws a RelayOpen that was not answered yet. An open transaction is
/// rolled back.
struct RelayClose
{
  std::uint64_t channel = 0;
  bool isChanged = false; ///< `state` differs from the one in RelayOpened.
  ConnectionState state;  ///< Set only if `isChanged`.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->channel, this->isChanged, this->state);
  }
};

} // namespace oleanderledge
