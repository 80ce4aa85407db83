#include "oleanderledge/daemon/internal/MetricsPublisher.hpp"

#include "oleanderledge/metrics/metrics.hpp"
#include "oleanderledge/report/report.hpp"

#include <chrono>

namespace oleanderledge {

namespace {

double ToDouble(std::uint64_t aNumber)
{
  return static_cast<double>(aNumber);
}

std::int64_t UnixSeconds()
{
  return std::chrono::duration_cast<std::chrono::seconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

MetricsPublisher::MetricsPublisher(InstanceInfo aSelf,
                                   MetricsRegistry& aRegistry,
                                   const std::string& aLogPath)
  : self(std::move(aSelf))
  , registry(aRegistry)
{
  if (!aLogPath.empty()) {
    this->log.open(aLogPath, std::ios::app);
  }
}

void MetricsPublisher::Publish(const TrafficCounters& aCounters,
                               const Directory& aDirectory,
                               bool aIsReady)
{
  MetricsRegistry& metrics = this->registry;
  metrics.SetGauge("oleanderledge_ready", {}, aIsReady ? 1.0 : 0.0);
  metrics.SetGauge("oleanderledge_directory_version", {}, ToDouble(aDirectory.Version()));
  metrics.SetGauge(
    "oleanderledge_configuration_number", {}, ToDouble(aDirectory.ConfigurationNumber()));
  metrics.SetGauge("oleanderledge_sessions", {}, ToDouble(aCounters.sessions));
  metrics.SetGauge("oleanderledge_waiting_units", {}, ToDouble(aCounters.waitingUnits));
  metrics.SetCounter("oleanderledge_units_forwarded_total", {}, ToDouble(aCounters.unitsForwarded));
  metrics.SetCounter("oleanderledge_units_answered_total", {}, ToDouble(aCounters.unitsAnswered));
  metrics.SetCounter("oleanderledge_resends_total", {}, ToDouble(aCounters.resends));
  metrics.SetCounter("oleanderledge_replies_ignored_total", {}, ToDouble(aCounters.repliesIgnored));
  metrics.SetCounter("oleanderledge_replica_reads_total", {}, ToDouble(aCounters.replicaReads));
  metrics.SetCounter("oleanderledge_primary_reads_total", {}, ToDouble(aCounters.primaryReads));
  metrics.SetCounter("oleanderledge_not_run_total", {}, ToDouble(aCounters.notRun));
  metrics.SetCounter("oleanderledge_unknown_total", {}, ToDouble(aCounters.unknown));
  for (const auto& [code, count] : aCounters.errors) {
    metrics.SetCounter("oleanderledge_errors_total",
                       { { "code", std::to_string(static_cast<unsigned>(code)) },
                         { "name", std::string(InfoOf(code).name) } },
                       ToDouble(count));
  }
  this->PublishStatements(aCounters);
  for (const ClassService& service : aCounters.service) {
    const MetricLabels labels{ { "class", service.workClass } };
    metrics.SetCounter("oleanderledge_served_total", labels, ToDouble(service.served));
    metrics.SetCounter(
      "oleanderledge_served_in_target_total", labels, ToDouble(service.servedInTarget));
    metrics.SetCounter("oleanderledge_refused_total", labels, ToDouble(service.refused));
  }
}

void MetricsPublisher::PublishStatements(const TrafficCounters& aCounters)
{
  MetricsRegistry& metrics = this->registry;
  metrics.SetCounter(
    "oleanderledge_connections_opened_total", {}, ToDouble(aCounters.connectionsOpened));
  metrics.SetCounter("oleanderledge_relayed_uses_total", {}, ToDouble(aCounters.relayedUses));
  metrics.SetCounter("oleanderledge_draining_uses_total", {}, ToDouble(aCounters.drainingUses));
  metrics.SetGauge("oleanderledge_client_bytes", {}, ToDouble(aCounters.clientBytes));
  metrics.SetGauge("oleanderledge_client_connections", {}, ToDouble(aCounters.clientConnections));
  for (const auto& [reason, count] : aCounters.clientsClosed) {
    metrics.SetCounter("oleanderledge_clients_closed_total",
                       { { "reason", std::string(ToString(reason)) } },
                       ToDouble(count));
  }
  for (const auto& [priority, totals] : aCounters.statements) {
    const std::string number = std::to_string(priority);
    for (const auto& [outcome, count] : totals.outcomes) {
      metrics.SetCounter("oleanderledge_statements_total",
                         { { "priority", number }, { "outcome", outcome } },
                         ToDouble(count));
    }
    metrics.SetHistogram(
      "oleanderledge_statement_seconds", { { "priority", number } }, totals.latency);
  }
}

void MetricsPublisher::AppendToLog(const TrafficCounters& aCounters, const Directory& aDirectory)
{
  if (!this->log.is_open()) {
    return;
  }
  MetricsSample sample;
  sample.time = UnixSeconds();
  sample.instance = this->self.id;
  sample.incarnation = this->self.incarnation;
  for (const ClassService& service : aCounters.service) {
    const ClassRow* row = aDirectory.FindClass(service.workClass);
    sample.classes[service.workClass] = {
      row == nullptr ? 0 : row->targetMs, service.served, service.servedInTarget, service.refused
    };
  }
  for (const auto& [code, count] : aCounters.errors) {
    sample.refusals[static_cast<std::uint16_t>(code)] = count;
  }
  sample.replicaReads = aCounters.replicaReads;
  sample.primaryReads = aCounters.primaryReads;
  this->log << EncodeSample(sample) << '\n' << std::flush;
}

} // namespace oleanderledge
