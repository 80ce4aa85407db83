#pragma once

#include "oleanderledge/report/BurnCalculator.hpp"

#include <string>

namespace oleanderledge {

/// Formats the report as one self-contained HTML page with inline style and SVG plots.
std::string FormatHtmlReport(const BurnSummary& aSummary);

} // namespace oleanderledge
