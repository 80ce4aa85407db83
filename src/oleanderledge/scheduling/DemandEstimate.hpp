#pragma once

#include "oleanderledge/base/base.hpp"

namespace oleanderledge {

/// Share of the capacity that a class normally asks for: a moving average of its offered load that
/// a flood does not pull up.
class DemandEstimate
{
public:
  /// Adds the offered share of one sample interval. While the database is overloaded the estimate
  /// only falls: the offered load of a flood and of retries says nothing about normal demand.
  void AddSample(double aOfferedShare, bool aOverloaded);

  /// Share of the capacity, 0 if nothing is known yet.
  double Share() const { return this->share; }

private:
  double share = 0;
  int samples = 0;
};

/// Interval between two samples.
constexpr Duration kDemandSampleInterval{ 1'000'000 };

} // namespace oleanderledge
