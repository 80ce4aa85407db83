#pragma once

#include "oleanderledge/report/BurnCalculator.hpp"

#include <string>

namespace oleanderledge {

/// Formats the report as plain text for a terminal.
std::string FormatTextReport(const BurnSummary& aSummary);

/// Formats whole seconds as "10 s", other durations as "50 ms".
std::string FormatMilliseconds(std::int64_t aMilliseconds);

/// Formats a share between 0 and 1 as a percentage with two decimals, for example "99.50%".
std::string FormatShare(double aShare);

} // namespace oleanderledge
