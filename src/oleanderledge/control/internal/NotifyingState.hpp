#pragma once

#include "oleanderledge/consensus/ReplicatedLog.hpp"

#include <functional>

namespace oleanderledge {

/// Forwards to another replicated state and calls back when that state may have changed.
class NotifyingState : public ReplicatedState
{
public:
  NotifyingState(ReplicatedState& aTarget, std::function<void()> aOnChange)
    : target(aTarget)
    , onChange(std::move(aOnChange))
  {
  }

  void Apply(std::uint64_t aIndex, std::string_view aCommand) override
  {
    this->target.Apply(aIndex, aCommand);
    this->onChange();
  }
  std::string Serialize() const override { return this->target.Serialize(); }
  Result<void> Restore(std::uint64_t aIndex, std::string_view aSnapshot) override
  {
    auto restored = this->target.Restore(aIndex, aSnapshot);
    this->onChange();
    return restored;
  }

private:
  ReplicatedState& target;
  std::function<void()> onChange;
};

} // namespace oleanderledge
