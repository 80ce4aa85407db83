#pragma once

#include <cstdint>
#include <map>

namespace oleanderledge {

/// How a message of a process relates to the earlier ones of its name.
enum class IncarnationVerdict
{
  First,          ///< The name was unknown.
  Current,        ///< The next message of the current incarnation.
  Restarted,      ///< First message of a new incarnation; the previous one is retired.
  Duplicate,      ///< The same message again.
  OldSequence,    ///< An earlier message of the current incarnation, late.
  OldIncarnation, ///< A late message of a retired incarnation.
  Clone,          ///< A retired incarnation is still running: two processes use one name.
};

/// True if the message carries news that may be used.
constexpr bool IsAccepted(IncarnationVerdict aVerdict)
{
  return aVerdict == IncarnationVerdict::First || aVerdict == IncarnationVerdict::Current ||
         aVerdict == IncarnationVerdict::Restarted;
}

/// Tells restarts, late messages and clones of one name apart. Incarnations are unique but not
/// ordered, so the one that appears last is the current one and never gives way to a retired one.
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
