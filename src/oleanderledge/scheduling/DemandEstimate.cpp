#include "oleanderledge/scheduling/DemandEstimate.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Number of samples that the settled average spans: 30 s of normal load.
constexpr int kSettledSamples = 30;

/// A sample is limited to this multiple of a settled estimate, because the first second of a flood
/// can pass before a refusal reveals the overload.
constexpr double kSampleLimitFactor = 2.0;

/// Lower bound of that limit, so that the estimate of an idle class can grow.
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
