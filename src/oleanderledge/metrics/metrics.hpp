/// Public header of the metrics library: counters, gauges and latency histograms.
#pragma once

#include "oleanderledge/metrics/LatencyHistogram.hpp"
#include "oleanderledge/metrics/MetricsRegistry.hpp"
