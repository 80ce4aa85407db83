#pragma once

#include "oleanderledge/metrics/LatencyHistogram.hpp"

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oleanderledge {

/// Label names and values of one time series, for example {{"class", "bookings"}}.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// The metrics of one process. Safe to use from several threads; writers that record for each unit
/// of work keep their own histogram and publish it from time to time.
class MetricsRegistry
{
public:
  void SetCounter(std::string_view aName, const MetricLabels& aLabels, double aValue);
  void AddToCounter(std::string_view aName, const MetricLabels& aLabels, double aAmount);
  void SetGauge(std::string_view aName, const MetricLabels& aLabels, double aValue);
  /// Replaces the histogram. Exported in seconds.
  void SetHistogram(std::string_view aName,
                    const MetricLabels& aLabels,
                    const LatencyHistogram& aValue);

  /// All metrics in the Prometheus text format, version 0.0.4.
  std::string ToPrometheusText() const;

private:
  enum class Kind
  {
    Counter,
    Gauge,
    Histogram,
  };

  struct Series
  {
    double value = 0.0;
    LatencyHistogram histogram;
  };

  struct Family
  {
    Kind kind = Kind::Counter;
    std::map<MetricLabels, Series> series;
  };

  Series& Find(std::string_view aName, const MetricLabels& aLabels, Kind aKind);

  mutable std::mutex mutex;
  std::map<std::string, Family, std::less<>> families;
};

} // namespace oleanderledge
