#include "oleanderledge/report/BurnCalculator.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// One point for each hour of the longest window.
constexpr std::size_t kHistoryPoints = 72;

/// Increase of the counters between two consecutive samples of one instance.
struct Increment
{
  std::int64_t time = 0;
  const MetricsSample* sample = nullptr;
  std::map<std::string, WindowCounts> classes;
  std::map<std::uint16_t, std::uint64_t> refusals;
  std::uint64_t replicaReads = 0;
  std::uint64_t primaryReads = 0;
};

/// Increase of a counter. A lower value than before means that the counter restarted from zero.
std::uint64_t CounterIncrease(std::uint64_t aBefore, std::uint64_t aAfter)
{
  return aAfter >= aBefore ? aAfter - aBefore : aAfter;
}

WindowCounts CountsIncrease(const ClassCounters& aBefore, const ClassCounters& aAfter)
{
  return { CounterIncrease(aBefore.served, aAfter.served),
           CounterIncrease(aBefore.servedInTarget, aAfter.servedInTarget),
           CounterIncrease(aBefore.refused, aAfter.refused) };
}

Increment MakeIncrement(const MetricsSample& aBefore, const MetricsSample& aAfter)
{
  Increment increment;
  increment.time = aAfter.time;
  increment.sample = &aAfter;
  for (const auto& [name, counters] : aAfter.classes) {
    const auto before = aBefore.classes.find(name);
    increment.classes[name] =
      CountsIncrease(before == aBefore.classes.end() ? ClassCounters{} : before->second, counters);
  }
  for (const auto& [code, count] : aAfter.refusals) {
    const auto before = aBefore.refusals.find(code);
    increment.refusals[code] =
      CounterIncrease(before == aBefore.refusals.end() ? 0 : before->second, count);
  }
  increment.replicaReads = CounterIncrease(aBefore.replicaReads, aAfter.replicaReads);
  increment.primaryReads = CounterIncrease(aBefore.primaryReads, aAfter.primaryReads);
  return increment;
}

using SampleRefs = std::vector<const MetricsSample*>;

std::map<std::string, SampleRefs> GroupByInstance(std::span<const MetricsSample> aSamples)
{
  std::map<std::string, SampleRefs> groups;
  for (const MetricsSample& sample : aSamples) {
    groups[sample.instance].push_back(&sample);
  }
  for (auto& [instance, samples] : groups) {
    std::stable_sort(
      samples.begin(), samples.end(), [](const MetricsSample* aLeft, const MetricsSample* aRight) {
        return aLeft->time < aRight->time;
      });
  }
  return groups;
}

std::vector<Increment> MakeIncrements(const std::map<std::string, SampleRefs>& aGroups)
{
  std::vector<Increment> increments;
  for (const auto& [instance, samples] : aGroups) {
    const MetricsSample empty;
    const MetricsSample* previous = &empty;
    for (const MetricsSample* sample : samples) {
      const bool restarted = previous->incarnation != sample->incarnation;
      increments.push_back(MakeIncrement(restarted ? empty : *previous, *sample));
      previous = sample;
    }
  }
  return increments;
}

void AddCounts(WindowCounts& aTarget, const WindowCounts& aCounts)
{
  aTarget.served += aCounts.served;
  aTarget.servedInTarget += aCounts.servedInTarget;
  aTarget.refused += aCounts.refused;
}

void AddToWindows(BurnSummary& aSummary, const Increment& aIncrement)
{
  for (const auto& [name, counts] : aIncrement.classes) {
    ClassBurn& burn = aSummary.classes[name];
    for (std::size_t window = 0; window < kBurnWindows.size(); ++window) {
      if (aIncrement.time > aSummary.time - kBurnWindows[window].seconds) {
        AddCounts(burn.windows[window], counts);
      }
    }
  }
}

void AddTotals(BurnSummary& aSummary, const Increment& aIncrement)
{
  if (aIncrement.time <= aSummary.time - kBurnWindows.back().seconds) {
    return;
  }
  for (const auto& [code, count] : aIncrement.refusals) {
    aSummary.refusals[code] += count;
  }
  aSummary.replicaReads += aIncrement.replicaReads;
  aSummary.primaryReads += aIncrement.primaryReads;
  const auto& records = aIncrement.sample->failovers;
  aSummary.failovers.insert(aSummary.failovers.end(), records.begin(), records.end());
}

std::vector<BurnPoint> MakeHistory(std::span<const Increment> aIncrements,
                                   const std::string& aClass,
                                   std::int64_t aEnd)
{
  const std::int64_t stepSeconds =
    kBurnWindows.back().seconds / static_cast<std::int64_t>(kHistoryPoints);
  std::vector<WindowCounts> steps(kHistoryPoints);
  for (const Increment& increment : aIncrements) {
    const std::int64_t age = aEnd - increment.time;
    const auto counts = increment.classes.find(aClass);
    if (age < 0 || age >= kBurnWindows.back().seconds || counts == increment.classes.end()) {
      continue;
    }
    AddCounts(steps[kHistoryPoints - 1 - static_cast<std::size_t>(age / stepSeconds)],
              counts->second);
  }
  std::vector<BurnPoint> history;
  for (std::size_t point = 0; point < kHistoryPoints; ++point) {
    const auto remaining = static_cast<std::int64_t>(kHistoryPoints - 1 - point);
    history.push_back({ aEnd - remaining * stepSeconds, steps[point].Burn() });
  }
  return history;
}

} // namespace

double WindowCounts::ShareInTarget() const
{
  return this->Total() == 0
           ? 1.0
           : static_cast<double>(this->servedInTarget) / static_cast<double>(this->Total());
}

double WindowCounts::Burn() const
{
  return (1.0 - this->ShareInTarget()) / (1.0 - kServiceObjective);
}

BurnSummary CalculateBurn(std::span<const MetricsSample> aSamples)
{
  BurnSummary summary;
  const auto groups = GroupByInstance(aSamples);
  summary.instances = groups.size();
  for (const MetricsSample& sample : aSamples) {
    summary.time = std::max(summary.time, sample.time);
  }
  const std::vector<Increment> increments = MakeIncrements(groups);
  std::map<std::string, std::int64_t> newestTarget;
  for (const Increment& increment : increments) {
    AddToWindows(summary, increment);
    AddTotals(summary, increment);
    for (const auto& [name, counters] : increment.sample->classes) {
      if (increment.time >= newestTarget[name]) {
        newestTarget[name] = increment.time;
        summary.classes[name].targetMs = counters.targetMs;
      }
    }
  }
  for (auto& [name, burn] : summary.classes) {
    burn.history = MakeHistory(increments, name, summary.time);
  }
  std::sort(summary.failovers.begin(),
            summary.failovers.end(),
            [](const FailoverRecord& aLeft, const FailoverRecord& aRight) {
              return aLeft.time < aRight.time;
            });
  return summary;
}

} // namespace oleanderledge
