#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace oleanderledge {

/// The caller asks for TLS or GSSAPI encryption; the proxy answers with a single 'N'.
struct EncryptionRequest
{};

/// The caller asks, on a connection of its own, to cancel a statement of another connection.
struct CancelRequest
{
  std::uint32_t processId = 0;
  std::uint32_t secret = 0;
};

/// The start-up message of a session.
struct StartupMessage
{
  std::string user;
  std::string database; ///< The user's name if the caller stated none.
  /// All other parameters in the order given, and the settings of `options` (`-c name=value`).
  std::vector<std::pair<std::string, std::string>> parameters;
  /// Protocol options starting with "_pq_.", which the proxy does not support.
  std::vector<std::string> unsupportedOptions;
  std::uint16_t minorVersion = 0;
};

using StartupPacket = std::variant<EncryptionRequest, CancelRequest, StartupMessage>;

/// Parses a packet without type byte. Fails with ProtocolViolation, or with FeatureNotSupported for
/// other protocol versions and for replication connections.
Result<StartupPacket> ParseStartupPacket(std::string_view aPacket);

/// Splits the `options` parameter into settings; understands `-c name=value` and `--name=value`,
/// with spaces in values escaped by a backslash. Fails with InvalidSetting.
Result<std::vector<std::pair<std::string, std::string>>> ParseOptions(std::string_view aOptions);

} // namespace oleanderledge
