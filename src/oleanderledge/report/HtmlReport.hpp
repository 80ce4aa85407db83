#pragma once

#include "oleanderledge/report/BurnCalculator.hpp"

#include <string>

namespace oleanderledge {

/// The report as one HTML page with inline style and SVG plots; it loads nothing.
std::string FormatHtmlReport(const BurnSummary& aSummary);

} // namespace oleanderledge
