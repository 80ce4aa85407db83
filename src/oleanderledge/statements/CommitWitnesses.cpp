#include "oleanderledge/statements/CommitWitnesses.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace oleanderledge {

void CommitWitnesses::Require(std::set<std::string> aServers, std::uint32_t aNeeded)
{
  this->servers = std::move(aServers);
  this->needed = aNeeded;
  this->ReleaseWitnessed();
}

void CommitWitnesses::Await(const LogPosition& aPosition,
                            const std::string& aExecutedBy,
                            const Owner& aOwner,
                            Callback aDone)
{
  this->held.push_back({ aPosition, aExecutedBy, aOwner, std::move(aDone), {} });
  this->AskAgain();
}

void CommitWitnesses::AskAgain()
{
  this->ReleaseWitnessed();
  for (const std::string& server : std::set(this->servers)) {
    this->Ask(server);
  }
}

void CommitWitnesses::Ask(const std::string& aServer)
{
  if (this->asked.contains(aServer)) {
    return;
  }
  std::optional<LogPosition> highest;
  for (const Held& each : this->held) {
    if (each.executedBy != aServer && !each.receivedBy.contains(aServer)) {
      highest = std::max(highest.value_or(each.position), each.position);
    }
  }
  if (!highest) {
    return;
  }
  this->asked.insert(aServer);
  this->probe.AskWitness(aServer, *highest, [this, aServer, asked = *highest](bool aIsReceived) {
    this->HandleAnswer(aServer, asked, aIsReceived);
  });
}

void CommitWitnesses::HandleAnswer(const std::string& aServer,
                                   const LogPosition& aAsked,
                                   bool aIsReceived)
{
  this->asked.erase(aServer);
  if (!aIsReceived) {
    return;
  }
  for (Held& each : this->held) {
    // Offsets are comparable within one term alone.
    if (each.executedBy != aServer && each.position.term == aAsked.term &&
        each.position <= aAsked) {
      each.receivedBy.insert(aServer);
    }
  }
  this->ReleaseWitnessed();
  this->Ask(aServer);
}

void CommitWitnesses::ReleaseWitnessed()
{
  std::vector<std::pair<Owner, Callback>> released;
  std::erase_if(this->held, [this, &released](Held& aEach) {
    const auto witnesses =
      std::ranges::count_if(aEach.receivedBy, [this](const std::string& aServer) {
        return this->servers.contains(aServer);
      });
    Owner owner = aEach.owner.lock();
    if (owner != nullptr && witnesses < static_cast<std::ptrdiff_t>(this->needed)) {
      return false;
    }
    if (owner != nullptr) {
      released.emplace_back(std::move(owner), std::move(aEach.done));
    }
    return true;
  });
  // A callback may end the owner of a later one.
  for (auto& [owner, done] : released) {
    const std::weak_ptr<const void> watched = owner;
    owner.reset();
    if (!watched.expired()) {
      done();
    }
  }
}

} // namespace oleanderledge
