#include "oleanderledge/control/FailoverTimeline.hpp"

namespace oleanderledge {

namespace {

std::int64_t Milliseconds(Instant aStart, Instant aEnd)
{
  return std::chrono::round<std::chrono::milliseconds>(aEnd - aStart).count();
}

std::string Part(const char* aName,
                 const std::optional<Instant>& aStart,
                 const std::optional<Instant>& aEnd)
{
  std::int64_t milliseconds = -1;
  if (aStart && aEnd) {
    milliseconds = Milliseconds(*aStart, *aEnd);
  }
  return std::string(" ") + aName + "_ms=" + std::to_string(milliseconds);
}

} // namespace

std::string FailoverTimeline::Describe(Instant aPublished) const
{
  const std::optional<Instant> published(aPublished);
  return std::string("kind=") + (this->planned ? "planned" : "unplanned") +
         Part("detection", this->lost, this->detected) +
         Part("lease", this->detected, this->fenced) +
         Part("promotion", this->fenced, this->confirmed) +
         Part("publication", this->confirmed, published) + Part("total", this->lost, published);
}

std::optional<FailoverDurations> FailoverTimeline::Durations(const std::string& aDatabase,
                                                             Instant aPublished) const
{
  if (!this->lost || !this->detected || !this->fenced || !this->confirmed) {
    return std::nullopt;
  }
  return FailoverDurations{ aDatabase,
                            Milliseconds(*this->lost, *this->detected),
                            Milliseconds(*this->detected, *this->fenced),
                            Milliseconds(*this->fenced, *this->confirmed),
                            Milliseconds(*this->confirmed, aPublished) };
}

} // namespace oleanderledge
