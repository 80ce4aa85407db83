#pragma once

#include <cstdint>
#include <map>

namespace oleanderledge {

/// How a message of a process relates to earlier messages under the same name.
enum class IncarnationVerdict
{
  First,          ///< First message under this name.
  Current,        ///< New message of the current incarnation.
  Restarted,      ///< First message of a new incarnation; the previous one is retired.
  Duplicate,      ///< The same message again.
  OldSequence,    ///< Delayed message of the current incarnation.
  OldIncarnation, ///< Delayed message of a retired incarnation.
  Clone,          ///< A retired incarnation still runs: two processes use the same name.
};

/// True if the message is new and comes from the current incarnation, so that its content is used.
constexpr bool IsAccepted(IncarnationVerdict aVerdict)
{
  return aVerdict == IncarnationVerdict::First || aVerdict == IncarnationVerdict::Current ||
         aVerdict == IncarnationVerdict::Restarted;
}

/// Distinguishes restarts, delayed messages and clones of the process with one name. Incarnations
/// are unique but not ordered, so the one that appeared last is the current one, and a retired one
/// never becomes current again.
class IncarnationTracker
{
public:
  IncarnationVerdict Observe(std::uint64_t aIncarnation, std::uint64_t aSequence);

  std::uint64_t Current() const { return this->current; }
  bool IsRetired(std::uint64_t aIncarnation) const { return this->retired.contains(aIncarnation); }

private:
  struct Retired
  {
    std::uint64_t sequence = 0;
    int newerMessages = 0;
    std::uint64_t order = 0;
  };

  IncarnationVerdict ObserveRetired(Retired& aRetired, std::uint64_t aSequence) const;
  void Retire();

  bool known = false;
  std::uint64_t current = 0;
  std::uint64_t sequence = 0;
  std::uint64_t retirements = 0;
  std::map<std::uint64_t, Retired> retired;
};

} // namespace oleanderledge
