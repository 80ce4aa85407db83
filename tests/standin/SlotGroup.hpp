#pragma once

#include "standin/CommandServer.hpp"
#include "standin/DatabaseSlot.hpp"

#include <QThread>

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace oleanderledge::stand_in {

/// Creates the QCoreApplication that Qt's event loop needs; Catch2's main() does not create one.
void EnsureApplication();

/// Waits until a condition is true. Returns false after a timeout of five seconds.
bool WaitUntil(const std::function<bool()>& aCondition);

/// Runs the slots of one database in a separate thread, so that tests can block in libpq. The first
/// slot is the initial primary.
class SlotGroup
{
public:
  using Adjust = std::function<void(SlotSettings&)>;

  /// `aAdjust` changes the settings of each slot before it starts. Waits until the first slot is
  /// primary and all slots have applied the schema; throws std::runtime_error after five seconds.
  explicit SlotGroup(std::size_t aCount, const Adjust& aAdjust = {});
  ~SlotGroup();
  SlotGroup(const SlotGroup&) = delete;
  SlotGroup& operator=(const SlotGroup&) = delete;

  int ClientPort(std::size_t aSlot) const { return this->clientPorts[aSlot]; }
  int HttpPort(std::size_t aSlot) const { return this->httpPorts[aSlot]; }

  /// Runs a function on a slot in the slots' thread and waits until it returns.
  void On(std::size_t aSlot, const std::function<void(DatabaseSlot&)>& aFunction);

  bool IsPrimary(std::size_t aSlot);
  std::uint64_t Term(std::size_t aSlot);
  std::uint64_t Received(std::size_t aSlot);
  std::uint64_t Applied(std::size_t aSlot);

  /// Replaces a slot by a new one with empty data, as after the restart of a process.
  void Restart(std::size_t aSlot);

private:
  struct Member
  {
    SlotSettings settings;
    std::unique_ptr<DatabaseSlot> slot;
    std::unique_ptr<CommandServer> commands;
  };

  void InThread(const std::function<void()>& aFunction);
  void StartMember(std::size_t aSlot);

  QThread thread;
  std::unique_ptr<QObject> threadObject;
  std::vector<Member> members;
  std::vector<int> clientPorts;
  std::vector<int> httpPorts;
};

} // namespace oleanderledge::stand_in
