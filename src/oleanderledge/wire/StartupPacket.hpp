#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace oleanderledge {

/// SSLRequest or GSSENCRequest. The proxy supports neither and answers with a single 'N'.
struct EncryptionRequest
{};

/// Request, on a connection of its own, to cancel the statement of the connection that got these
/// numbers in its BackendKeyData.
struct CancelRequest
{
  std::uint32_t processId = 0;
  std::uint32_t secret = 0;
};

/// The start-up message of a session.
struct StartupMessage
{
  std::string user;
  std::string database; ///< Name of the user if the caller gave none.
  /// All other parameters in the order given. `options` is replaced by the settings in it.
  std::vector<std::pair<std::string, std::string>> parameters;
  /// Names of protocol options ("_pq_."), none of which the proxy supports.
  std::vector<std::string> unsupportedOptions;
  std::uint16_t minorVersion = 0;
};

using StartupPacket = std::variant<EncryptionRequest, CancelRequest, StartupMessage>;

/// Parses a packet as NextUntyped() of MessageReader returns it. Fails with ProtocolViolation for a
/// truncated packet, FeatureNotSupported for another major protocol version or a replication
/// connection, StartupRejected if there is no user, and InvalidSetting for invalid `options`.
Result<StartupPacket> ParseStartupPacket(std::string_view aPacket);

/// Splits the `options` parameter into names and values of settings. Accepts `-c name=value`,
/// `-cname=value` and `--name=value`, where a hyphen in the name stands for an underscore. A
/// backslash escapes the next character, such as a space in a value. Fails with InvalidSetting.
Result<std::vector<std::pair<std::string, std::string>>> ParseOptions(std::string_view aOptions);

} // namespace oleanderledge
