#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace oleanderledge {

// --- Messages of a server ------------------------------------------------------------------------

std::string BuildAuthenticationOk();
std::string BuildParameterStatus(std::string_view aName, std::string_view aValue);
std::string BuildBackendKeyData(std::uint32_t aProcessId, std::uint32_t aSecret);
/// Status is 'I' (idle), 'T' (in a transaction) or 'E' (in a failed transaction).
std::string BuildReadyForQuery(char aStatus);
/// Severity is for example "ERROR" or "FATAL". The hint may be empty.
std::string BuildErrorResponse(std::string_view aSeverity,
                               std::string_view aSqlstate,
                               std::string_view aMessage,
                               std::string_view aHint = {});
std::string BuildNoticeResponse(std::string_view aSqlstate, std::string_view aMessage);
std::string BuildCommandComplete(std::string_view aTag);
/// All columns have the type text.
std::string BuildRowDescription(std::span<const std::string> aColumns);
std::string BuildDataRow(std::span<const std::optional<std::string>> aValues);
/// Messages without fields: '1' ParseComplete, '2' BindComplete, '3' CloseComplete, 'n' NoData,
/// 'I' EmptyQueryResponse, 's' PortalSuspended.
std::string BuildEmptyMessage(char aType);
/// All parameters have the type text.
std::string BuildParameterDescription(std::size_t aCount);

// --- Messages of a client ------------------------------------------------------------------------

std::string BuildStartup(std::span<const std::pair<std::string, std::string>> aParameters);
std::string BuildCancelRequest(std::uint32_t aProcessId, std::uint32_t aSecret);
std::string BuildQuery(std::string_view aSql);
/// Closes a prepared statement by name.
std::string BuildCloseStatement(std::string_view aName);
std::string BuildSync();
std::string BuildTerminate();

/// A message of any type with a given body.
std::string BuildMessage(char aType, std::string_view aBody);

/// Quotes a string as an SQL literal, with quotes doubled.
std::string QuoteLiteral(std::string_view aText);

} // namespace oleanderledge
