#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace oleanderledge {

/// Asks backend servers whether their log contains a position.
class WitnessProbe
{
public:
  virtual ~WitnessProbe() = default;

  /// The argument is true if the log contains the position, and false if it does not or the server
  /// did not tell.
  using Callback = std::function<void(bool)>;
  /// Calls back exactly once.
  virtual void AskWitness(const std::string& aServer,
                          const LogPosition& aPosition,
                          Callback aCallback) = 0;
};

/// Holds acknowledgements of commits back until enough servers that are not silent have received
/// them. A primary reports a commit as confirmed also if only a silent replica has received it; a
/// later choice of a successor could not ask that replica. Does no I/O itself and reads no clock.
class CommitWitnesses
{
public:
  /// Exists as long as the acknowledgement is wanted.
  using Owner = std::shared_ptr<const void>;
  using Callback = std::function<void()>;

  explicit CommitWitnesses(WitnessProbe& aProbe)
    : probe(aProbe)
  {
  }

  /// Requires `aNeeded` of these servers for each commit. 0: commits need no witness, and those
  /// that are held are released.
  void Require(std::set<std::string> aServers, std::uint32_t aNeeded);
  bool IsRequired() const { return this->needed > 0; }

  /// Calls back once enough servers other than `aExecutedBy` have received the position. Does not
  /// call back if the owner ends before.
  void Await(const LogPosition& aPosition,
             const std::string& aExecutedBy,
             const Owner& aOwner,
             Callback aDone);
  bool IsHolding() const { return !this->held.empty(); }
  /// Asks the servers again that lacked a position or did not tell. To be called periodically while
  /// acknowledgements are held.
  void AskAgain();

private:
  struct Held
  {
    LogPosition position;
    std::string executedBy;
    std::weak_ptr<const void> owner;
    Callback done;
    std::set<std::string> receivedBy;
  };

  void Ask(const std::string& aServer);
  void HandleAnswer(const std::string& aServer, const LogPosition& aAsked, bool aIsReceived);
  /// Releases the commits that have enough witnesses, and forgets those that nobody waits for.
  void ReleaseWitnessed();

  WitnessProbe& probe;
  std::set<std::string> servers;
  std::set<std::string> asked; ///< Servers that have not answered yet.
  std::uint32_t needed = 0;
  std::vector<Held> held;
};

} // namespace oleanderledge
