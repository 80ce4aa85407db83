#include "ClassLoad.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <utility>

namespace oleanderledge::load {

namespace {

/// Refusal code of a request that found no idle connection before its queue timeout.
constexpr const char* kNotSent = "not_sent";
/// Requests wait for a connection until the target time has passed, but at least this long.
constexpr Duration kMinQueueTimeout = std::chrono::milliseconds(1000);
/// Refusal code of a request that has no response at the end of the run.
constexpr const char* kUnanswered = "unanswered";

Duration Seconds(double aSeconds)
{
  return Duration{ static_cast<std::int64_t>(aSeconds * 1e6) };
}

} // namespace

ClassLoad::ClassLoad(const RunSettings& aRun, ClassSettings aSettings, QObject* aParent)
  : QObject(aParent)
  , run(aRun)
  , settings(std::move(aSettings))
  , random(aRun.seed ^ std::hash<std::string>{}(this->settings.name))
  , nextArrival(MonotonicNow())
{
  if (this->settings.readShare > 0) {
    this->OpenConnections(this->reads, true);
  }
  if (this->settings.readShare < 1) {
    this->OpenConnections(this->writes, false);
  }
}

void ClassLoad::OpenConnections(Pool& aPool, bool aReadOnly)
{
  for (int index = 0; index < this->settings.connections; ++index) {
    // Reads and writes with the same number share a session, through different proxies.
    const std::size_t number = static_cast<std::size_t>(index) + (aReadOnly ? 1 : 0);
    ConnectionTarget target = this->run.targets[number % this->run.targets.size()];
    target.options = "-c oleanderledge.class=" + this->settings.name +
                     " -c oleanderledge.session=load-" + this->settings.name + "-" +
                     std::to_string(index);
    if (aReadOnly) {
      target.options += " -c default_transaction_read_only=on";
    }
    auto* connection = new LoadConnection(std::move(target), this);
    QObject::connect(connection, &LoadConnection::Idle, this, [this, connection, &aPool] {
      aPool.idle.push_back(connection);
      this->SendWaiting(aPool);
    });
    QObject::connect(connection, &LoadConnection::Lost, this, [connection, &aPool] {
      std::erase(aPool.idle, connection);
    });
  }
}

void ClassLoad::Advance(Instant aNow)
{
  const Instant end = this->run.start + this->run.length;
  std::uniform_real_distribution<double> share(0, 1);
  while (this->nextArrival <= aNow && this->nextArrival < end) {
    const Request request = this->MakeRequest(this->nextArrival);
    ++this->openRequests;
    if (request.measured) {
      ++this->openMeasuredRequests;
      ++this->phases[static_cast<std::size_t>(request.phase)].offered;
    }
    const bool isRead = share(this->random) < this->settings.readShare;
    (isRead ? this->reads : this->writes).waiting.push_back(request);
    const double rate = this->RateAt(this->nextArrival);
    if (rate <= 0) {
      this->nextArrival += std::chrono::milliseconds(10);
      continue;
    }
    this->nextArrival += Seconds(std::exponential_distribution<double>(rate)(this->random));
  }
  for (Pool* pool : { &this->reads, &this->writes }) {
    this->RefuseExpired(*pool, aNow);
    this->SendWaiting(*pool);
  }
}

ClassLoad::Request ClassLoad::MakeRequest(Instant aIntendedTime) const
{
  Request request;
  request.intendedTime = aIntendedTime;
  request.measured = aIntendedTime >= this->run.start;
  if (this->run.flood) {
    if (aIntendedTime >= this->run.start + Seconds(this->run.flood->endS)) {
      request.phase = Phase::After;
    } else if (aIntendedTime >= this->run.start + Seconds(this->run.flood->startS)) {
      request.phase = Phase::Flood;
    }
  }
  return request;
}

double ClassLoad::RateAt(Instant aTime) const
{
  const bool flooded = this->run.flood && this->run.flood->className == this->settings.name &&
                       this->MakeRequest(aTime).phase == Phase::Flood;
  return flooded ? this->run.flood->rate : this->settings.rate;
}

void ClassLoad::RefuseExpired(Pool& aPool, Instant aNow)
{
  const Duration queueTimeout =
    std::max(kMinQueueTimeout, Duration{ std::chrono::milliseconds(this->settings.targetMs) });
  while (!aPool.waiting.empty() && aNow - aPool.waiting.front().intendedTime > queueTimeout) {
    const Request request = aPool.waiting.front();
    aPool.waiting.pop_front();
    this->Complete(request, kNotSent);
  }
}

void ClassLoad::SendWaiting(Pool& aPool)
{
  while (!this->ended && !aPool.waiting.empty() && !aPool.idle.empty()) {
    const Request request = aPool.waiting.front();
    aPool.waiting.pop_front();
    LoadConnection* connection = aPool.idle.back();
    aPool.idle.pop_back();
    connection->Send(
      this->NextSql(&aPool == &this->reads),
      [this, request](const std::string& aSqlstate) { this->Complete(request, aSqlstate); });
  }
}

void ClassLoad::Complete(const Request& aRequest, const std::string& aSqlstate)
{
  --this->openRequests;
  if (!aRequest.measured || this->ended) {
    return;
  }
  --this->openMeasuredRequests;
  PhaseCounters& counters = this->phases[static_cast<std::size_t>(aRequest.phase)];
  if (!aSqlstate.empty()) {
    ++counters.refusals[aSqlstate];
    return;
  }
  const Duration latency = MonotonicNow() - aRequest.intendedTime;
  counters.latency.Add(latency);
  ++counters.served;
  if (latency <= std::chrono::milliseconds(this->settings.targetMs)) {
    ++counters.inTarget;
  }
}

void ClassLoad::EndOpenRequests()
{
  this->ended = true;
  if (this->openMeasuredRequests > 0) {
    const Phase last = this->run.flood ? Phase::After : Phase::Before;
    this->phases[static_cast<std::size_t>(last)].refusals[kUnanswered] +=
      this->openMeasuredRequests;
  }
}

std::string ClassLoad::NextSql(bool aRead)
{
  std::string sql = aRead ? this->run.readSql : this->run.writeSql;
  const std::size_t at = sql.find("{n}");
  if (at != std::string::npos) {
    sql.replace(at, 3, this->settings.name + "-" + std::to_string(++this->nextNumber));
  }
  return sql;
}

void ClassLoad::Print() const
{
  const double length = static_cast<double>(this->run.length.count()) / 1e6;
  if (!this->run.flood) {
    this->phases[0].Print(this->settings.name, length);
    return;
  }
  const FloodSettings& flood = *this->run.flood;
  this->phases[0].Print(this->settings.name + ".before", flood.startS);
  this->phases[1].Print(this->settings.name + ".flood", flood.endS - flood.startS);
  this->phases[2].Print(this->settings.name + ".after", length - flood.endS);
}

} // namespace oleanderledge::load
