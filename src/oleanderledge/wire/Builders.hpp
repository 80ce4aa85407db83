#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace oleanderledge {

// All builders return whole messages with type byte and length. Zero-terminated fields are cut at
// the first zero byte of their text.

// --- Messages of a server ------------------------------------------------------------------------

std::string BuildAuthenticationOk();
std::string BuildParameterStatus(std::string_view aName, std::string_view aValue);
std::string BuildBackendKeyData(std::uint32_t aProcessId, std::uint32_t aSecret);
/// `aStatus` is 'I' (idle), 'T' (in a transaction) or 'E' (in a failed transaction).
std::string BuildReadyForQuery(char aStatus);
/// `aSeverity` is for example "ERROR" or "FATAL". Empty fields are left out.
std::string BuildErrorResponse(std::string_view aSeverity,
                               std::string_view aSqlstate,
                               std::string_view aMessage,
                               std::string_view aHint = {});
std::string BuildNoticeResponse(std::string_view aSqlstate, std::string_view aMessage);
std::string BuildCommandComplete(std::string_view aTag);
/// All columns have the type text.
std::string BuildRowDescription(std::span<const std::string> aColumns);
/// Values in text format; nullopt is NULL.
std::string BuildDataRow(std::span<const std::optional<std::string>> aValues);
/// A message without a body: '1' ParseComplete, '2' BindComplete, '3' CloseComplete, 'n' NoData,
/// 'I' EmptyQueryResponse, 's' PortalSuspended.
std::string BuildEmptyMessage(char aType);
/// All parameters have the type text.
std::string BuildParameterDescription(std::size_t aCount);

// --- Messages of a client ------------------------------------------------------------------------

/// A StartupMessage of protocol 3.0; like a CancelRequest it has no type byte.
std::string BuildStartup(std::span<const std::pair<std::string, std::string>> aParameters);
std::string BuildCancelRequest(std::uint32_t aProcessId, std::uint32_t aSecret);
std::string BuildQuery(std::string_view aSql);
/// The message that closes a prepared statement.
std::string BuildCloseStatement(std::string_view aName);
std::string BuildSync();
std::string BuildTerminate();

/// A message of any type with a given body.
std::string BuildMessage(char aType, std::string_view aBody);

/// Quotes a string as an SQL literal and doubles the single quotes in it. Backslashes are kept as
/// they are, which is right only with standard_conforming_strings on.
std::string QuoteLiteral(std::string_view aText);

} // namespace oleanderledge
