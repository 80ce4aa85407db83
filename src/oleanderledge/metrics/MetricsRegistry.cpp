#include "oleanderledge/metrics/MetricsRegistry.hpp"

#include <cstdio>

namespace oleanderledge {

namespace {

std::string EscapeLabel(std::string_view aValue)
{
  std::string escaped;
  for (const char character : aValue) {
    if (character == '\\' || character == '"') {
      escaped.push_back('\\');
      escaped.push_back(character);
    } else if (character == '\n') {
      escaped += "\\n";
    } else {
      escaped.push_back(character);
    }
  }
  return escaped;
}

std::string FormatLabels(const MetricLabels& aLabels, std::string_view aExtra = {})
{
  std::string text;
  for (const auto& [name, value] : aLabels) {
    text += (text.empty() ? "" : ",") + name + "=\"" + EscapeLabel(value) + "\"";
  }
  if (!aExtra.empty()) {
    text.append(text.empty() ? "" : ",").append(aExtra);
  }
  return text.empty() ? text : "{" + text + "}";
}

std::string FormatNumber(double aValue)
{
  char text[64];
  std::snprintf(text, sizeof text, "%.15g", aValue);
  return text;
}

std::string FormatHistogram(const std::string& aName,
                            const MetricLabels& aLabels,
                            const LatencyHistogram& aHistogram)
{
  const std::vector<Duration> bounds = LatencyHistogram::UpperBounds();
  const std::vector<std::uint64_t> counts = aHistogram.Buckets();
  std::string text;
  std::uint64_t cumulative = 0;
  for (std::size_t bucket = 0; bucket < counts.size(); ++bucket) {
    cumulative += counts[bucket];
    const bool isLast = bucket == bounds.size();
    const std::string bound =
      isLast ? "+Inf" : FormatNumber(static_cast<double>(bounds[bucket].count()) / 1e6);
    text += aName + "_bucket" + FormatLabels(aLabels, "le=\"" + bound + "\"") + " " +
            std::to_string(cumulative) + "\n";
  }
  text += aName + "_count" + FormatLabels(aLabels) + " " + std::to_string(cumulative) + "\n";
  return text;
}

} // namespace

MetricsRegistry::Series& MetricsRegistry::FindOrAdd(std::string_view aName,
                                                    const MetricLabels& aLabels,
                                                    Kind aKind)
{
  Family& family = this->families.try_emplace(std::string(aName)).first->second;
  family.kind = aKind;
  return family.series[aLabels];
}

void MetricsRegistry::SetCounter(std::string_view aName, const MetricLabels& aLabels, double aValue)
{
  const std::lock_guard lock(this->mutex);
  this->FindOrAdd(aName, aLabels, Kind::Counter).value = aValue;
}

void MetricsRegistry::AddToCounter(std::string_view aName,
                                   const MetricLabels& aLabels,
                                   double aAmount)
{
  const std::lock_guard lock(this->mutex);
  this->FindOrAdd(aName, aLabels, Kind::Counter).value += aAmount;
}

void MetricsRegistry::SetGauge(std::string_view aName, const MetricLabels& aLabels, double aValue)
{
  const std::lock_guard lock(this->mutex);
  this->FindOrAdd(aName, aLabels, Kind::Gauge).value = aValue;
}

void MetricsRegistry::SetHistogram(std::string_view aName,
                                   const MetricLabels& aLabels,
                                   const LatencyHistogram& aValue)
{
  const std::lock_guard lock(this->mutex);
  this->FindOrAdd(aName, aLabels, Kind::Histogram).histogram = aValue;
}

std::string MetricsRegistry::ToPrometheusText() const
{
  const std::lock_guard lock(this->mutex);
  std::string text;
  for (const auto& [name, family] : this->families) {
    const char* const kind = family.kind == Kind::Counter ? "counter"
                             : family.kind == Kind::Gauge ? "gauge"
                                                          : "histogram";
    text += "# TYPE " + name + " " + kind + "\n";
    for (const auto& [labels, series] : family.series) {
      if (family.kind == Kind::Histogram) {
        text += FormatHistogram(name, labels, series.histogram);
        continue;
      }
      text += name + FormatLabels(labels) + " " + FormatNumber(series.value) + "\n";
    }
  }
  return text;
}

} // namespace oleanderledge
