#include "oleanderledge/report/HtmlReport.hpp"

#include "oleanderledge/report/TextReport.hpp"

#include <algorithm>
#include <cstdio>
#include <string_view>

namespace oleanderledge {

namespace {

constexpr double kPlotWidth = 720.0;
constexpr double kPlotHeight = 120.0;
/// Smallest upper end of the burn axis; a higher history extends it.
constexpr double kMinPlotBurn = 2.0;

constexpr std::string_view kPageHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>oleanderledge service levels</title><style>
body{font:15px/1.45 sans-serif;margin:2rem auto;max-width:60rem;padding:0 1rem;color:#1c2733}
table{border-collapse:collapse;margin:1rem 0}th,td{padding:.3rem .8rem;text-align:right;border-bottom:1px solid #d6dde4}
th:first-child,td:first-child{text-align:left}.high{color:#a11;font-weight:600}
svg{background:#f6f8fa;border:1px solid #d6dde4}h2{margin-top:2rem}small{color:#566}
</style></head><body>
)";

std::string FormatNumber(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", aValue);
  return text;
}

std::string EscapeHtml(std::string_view aText)
{
  std::string escaped;
  for (const char character : aText) {
    switch (character) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped.push_back(character);
    }
  }
  return escaped;
}

std::string FormatCell(const std::string& aText, bool aIsHighlighted = false)
{
  return (aIsHighlighted ? "<td class=\"high\">" : "<td>") + aText + "</td>";
}

std::string FormatClassTable(const BurnSummary& aSummary)
{
  std::string html = "<table><tr><th>Class</th><th>Target</th><th>In target (3d)</th>"
                     "<th>Budget left (3d)</th>";
  for (const BurnWindow& window : kBurnWindows) {
    html += std::string("<th>Burn ") + window.name + "</th>";
  }
  html += "</tr>\n";
  for (const auto& [name, burn] : aSummary.classes) {
    const WindowCounts& longest = burn.windows.back();
    html += "<tr>" + FormatCell(EscapeHtml(name)) + FormatCell(FormatMilliseconds(burn.targetMs)) +
            FormatCell(FormatShare(longest.ShareInTarget())) +
            FormatCell(FormatShare(std::max(0.0, 1.0 - longest.Burn())));
    for (const WindowCounts& window : burn.windows) {
      html += FormatCell(FormatNumber(window.Burn()), window.Burn() > 1.0);
    }
    html += "</tr>\n";
  }
  return html + "</table>\n";
}

std::string FormatPlot(const ClassBurn& aBurn)
{
  double top = kMinPlotBurn;
  for (const BurnPoint& point : aBurn.history) {
    top = std::max(top, point.burn);
  }
  const double step =
    kPlotWidth / std::max<double>(1.0, static_cast<double>(aBurn.history.size()) - 1.0);
  std::string points;
  double left = 0.0;
  for (const BurnPoint& point : aBurn.history) {
    points += FormatNumber(left) + "," + FormatNumber(kPlotHeight * (1.0 - point.burn / top)) + " ";
    left += step;
  }
  const std::string limit = FormatNumber(kPlotHeight * (1.0 - 1.0 / top));
  const std::string width = FormatNumber(kPlotWidth);
  return "<svg role=\"img\" aria-label=\"Burn over 3 days\" viewBox=\"-4 -4 800 " +
         FormatNumber(kPlotHeight + 24.0) + "\" width=\"800\"><line x1=\"0\" x2=\"" + width +
         "\" y1=\"" + limit + "\" y2=\"" + limit +
         "\" stroke=\"#a11\" stroke-dasharray=\"4 3\"/><polyline fill=\"none\" stroke=\"#0b5fa5\" "
         "stroke-width=\"2\" points=\"" +
         points + "\"/><text x=\"" + FormatNumber(kPlotWidth + 6.0) + "\" y=\"" + limit +
         "\" font-size=\"12\">burn 1</text><text x=\"0\" y=\"" + FormatNumber(kPlotHeight + 16.0) +
         "\" font-size=\"12\">3 days ago</text><text x=\"" + width + "\" y=\"" +
         FormatNumber(kPlotHeight + 16.0) +
         "\" font-size=\"12\" text-anchor=\"end\">now</text></svg>\n";
}

std::string FormatRefusalTable(const BurnSummary& aSummary)
{
  std::string html = "<h2>Refusals</h2><table><tr><th>Code</th><th>Name</th><th>Count</th></tr>\n";
  for (const auto& [code, count] : aSummary.refusals) {
    html += "<tr>" + FormatCell(std::to_string(code)) +
            FormatCell(EscapeHtml(InfoOf(static_cast<ResultCode>(code)).name)) +
            FormatCell(std::to_string(count)) + "</tr>\n";
  }
  return html + "</table>\n";
}

std::string FormatFailoverTable(const BurnSummary& aSummary)
{
  std::string html = "<h2>Failovers</h2><table><tr><th>Database</th><th>Gap</th><th>Detection</th>"
                     "<th>Lease</th><th>Promotion</th><th>Publication</th></tr>\n";
  for (const FailoverRecord& record : aSummary.failovers) {
    html += "<tr>" + FormatCell(EscapeHtml(record.database)) +
            FormatCell(FormatMilliseconds(record.GapMs())) +
            FormatCell(FormatMilliseconds(record.detectMs)) +
            FormatCell(FormatMilliseconds(record.leaseMs)) +
            FormatCell(FormatMilliseconds(record.promoteMs)) +
            FormatCell(FormatMilliseconds(record.publishMs)) + "</tr>\n";
  }
  return html + "</table>\n";
}

} // namespace

std::string FormatHtmlReport(const BurnSummary& aSummary)
{
  const std::uint64_t reads = aSummary.replicaReads + aSummary.primaryReads;
  const double share =
    reads == 0 ? 0.0 : static_cast<double>(aSummary.replicaReads) / static_cast<double>(reads);
  std::string html(kPageHead);
  html += "<h1>Service levels</h1><p>" + std::to_string(aSummary.instances) +
          " instances. Objective: " + FormatShare(kServiceObjective) +
          " of requests within the target of their class; refusals count as missed. A burn of 1 "
          "spends exactly the error budget of the window.</p>\n";
  html += FormatClassTable(aSummary);
  for (const auto& [name, burn] : aSummary.classes) {
    html += "<h2>" + EscapeHtml(name) +
            "</h2><small>burn over the hour before each point</small><br>" + FormatPlot(burn);
  }
  html += "<h2>Reads</h2><p>" + FormatShare(share) + " of " + std::to_string(reads) +
          " reads were served by replicas.</p>\n";
  return html + FormatRefusalTable(aSummary) + FormatFailoverTable(aSummary) + "</body></html>\n";
}

} // namespace oleanderledge
