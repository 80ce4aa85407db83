#pragma once

#include "oleanderledge/base/base.hpp"

namespace oleanderledge {

/// Estimate of the share of the capacity that a class normally demands: a moving average of its
/// offered load that a flood does not raise.
class DemandEstimate
{
public:
  /// Adds the offered load of one sample interval, as a share of the capacity. While the database
  /// is overloaded the estimate can only fall: the load of a flood and of retries says nothing
  /// about normal demand.
  void AddSample(double aOfferedShare, bool aOverloaded);

  /// Share of the capacity, from 0 to 1; 0 before the first sample.
  double Share() const { return this->share; }

private:
  double share = 0;
  int samples = 0;
};

/// Interval between two samples.
constexpr Duration kDemandSampleInterval{ 1'000'000 };

} // namespace oleanderledge
