#include "oleanderledge/scheduling/DemandEstimate.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Number of samples that the average spans once it is settled: half a minute of normal work.
constexpr int kSettledSamples = 30;

/// A sample counts as at most this multiple of a settled estimate. The first second of a flood can
/// pass before a refusal shows the overload.
constexpr double kSampleLimitFactor = 2.0;

/// Lowest limit of a sample, so that a class that was idle can become known.
constexpr double kSampleLimitFloor = 0.1;

} // namespace

void DemandEstimate::AddSample(double aOfferedShare, bool aOverloaded)
{
  if (aOverloaded && aOfferedShare >= this->share) {
    return;
  }
  double sample = std::min(aOfferedShare, 1.0);
  if (this->samples >= kSettledSamples) {
    sample = std::min(sample, std::max(this->share * kSampleLimitFactor, kSampleLimitFloor));
  }
  this->samples = std::min(this->samples + 1, kSettledSamples);
  this->share += (sample - this->share) / this->samples;
}

} // namespace oleanderledge
