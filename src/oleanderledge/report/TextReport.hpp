#pragma once

#include "oleanderledge/report/BurnCalculator.hpp"

#include <string>

namespace oleanderledge {

/// The report for a terminal, without colour.
std::string FormatTextReport(const BurnSummary& aSummary);

/// "50 ms" or "10 s".
std::string FormatMilliseconds(std::int64_t aMilliseconds);

/// Percent with two digits, for example "99.50%".
std::string FormatShare(double aShare);

} // namespace oleanderledge
