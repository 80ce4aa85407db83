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

/// The metrics of one process. Thread-safe, by a lock on each call: code that records a value for
/// each unit of work keeps a histogram of its own and publishes it periodically by SetHistogram().
class MetricsRegistry
{
public:
  void SetCounter(std::string_view aName, const MetricLabels& aLabels, double aValue);
  void AddToCounter(std::string_view aName, const MetricLabels& aLabels, double aAmount);
  void SetGauge(std::string_view aName, const MetricLabels& aLabels, double aValue);
  /// Replaces the histogram of the series. Its buckets are exported in seconds.
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

  /// Values of one set of labels; the kind of the family tells which member is in use.
  struct Series
  {
    double value = 0.0;
    LatencyHistogram histogram;
  };

  /// All series of one metric name.
  struct Family
  {
    Kind kind = Kind::Counter;
    std::map<MetricLabels, Series> series;
  };

  /// The series, which is added if it does not exist. Sets the kind of its family.
  Series& FindOrAdd(std::string_view aName, const MetricLabels& aLabels, Kind aKind);

  mutable std::mutex mutex;
  std::map<std::string, Family, std::less<>> families;
};

} // namespace oleanderledge
