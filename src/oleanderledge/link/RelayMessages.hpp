#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/SessionSetting.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderledge {

// Between proxies: a proxy without connections of its own to a backend server uses one of a relay,
// a proxy that was granted some. A channel is one use, numbered by the sender of RelayOpen.

/// Asks for the use of a connection.
struct RelayOpen
{
  std::uint64_t channel = 0;
  std::string backend;
  std::uint32_t priority = 0; ///< 0 is the most urgent.
  std::int64_t waitUs = 0;    ///< The sender waits at most this long.
  /// Of the session, to choose a connection on which they are in force.
  std::vector<SessionSetting> settings;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->channel, this->backend, this->priority, this->waitUs, this->settings);
  }
};

enum class RelayOutcome : std::uint8_t
{
  Opened = 0,
  NotServing = 1,   ///< This proxy stops or holds no connections to the server.
  NoConnection = 2, ///< None became free in time.
  Unreachable = 3,  ///< The server cannot be reached from the relay.
};

/// Settings and prepared statements of a connection.
struct ConnectionState
{
  /// False while it is not certain which settings are in force.
  bool settingsKnown = true;
  std::vector<SessionSetting> settings;
  std::vector<std::string> prepared;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->settingsKnown, this->settings, this->prepared);
  }
};

/// Answers RelayOpen. Any other outcome than Opened ends the channel.
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

/// One request for the backend server, encoded as it is sent there. The next one follows the
/// result.
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

/// Answers RelayStatement; also sent alone, with `lost`, if the connection is lost between two.
struct RelayResult
{
  std::uint64_t channel = 0;
  bool lost = false; ///< The connection to the backend server ended; so does the channel.
  std::string rows;
  std::string completed; ///< Empty if there was an error.
  bool hasError = false;
  std::uint8_t error = 0; ///< Number of the StatementError.
  std::string errorText;  ///< The server's message as received.
  std::uint8_t transactionState = 0;
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

/// Ends a channel, or a request for one that was not answered yet. An open transaction is rolled
/// back.
struct RelayClose
{
  std::uint64_t channel = 0;
  bool isChanged = false; ///< `state` differs from the one in RelayOpened.
  ConnectionState state;  ///< Only if it was changed.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->channel, this->isChanged, this->state);
  }
};

} // namespace oleanderledge
