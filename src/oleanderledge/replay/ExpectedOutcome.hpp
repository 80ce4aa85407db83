#pragma once

#include "oleanderledge/replay/TraceReplay.hpp"

#include <optional>
#include <string>

namespace oleanderledge {

/// Formats an outcome as YAML: counts per class, the list of decisions and its SHA-256 digest. A
/// decision is `EVENT:ID` for a dispatched unit and `EVENT:ID:CODE` for a refused one.
std::string FormatExpectedOutcome(const ReplayOutcome& aOutcome);

/// Reads what FormatExpectedOutcome() wrote. Fails with SettingsInvalid if the file is damaged,
/// which includes a digest that does not match the decisions.
Result<ReplayOutcome> LoadExpectedOutcome(const std::string& aPath);

/// Describes the first event where the decisions differ or, if they are equal, the first class
/// whose counts differ. Nothing if the outcomes are equal.
std::optional<std::string> FindDifference(const ReplayOutcome& aExpected,
                                          const ReplayOutcome& aActual);

} // namespace oleanderledge
