#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/entry/EntrySettings.hpp"
#include "oleanderledge/entry/internal/ForwardUnit.hpp"
#include "oleanderledge/entry/internal/RetryBudget.hpp"
#include "oleanderledge/link/Directory.hpp"
#include "oleanderledge/transport/BackOff.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace oleanderledge {

/// Carries units of callers to the owners of their databases and answers back (design 2.6).
///
/// Pure: every method takes the time and returns actions, to be executed in order. Each channel has
/// at most one unit at a time. Every send has a new sequence, so that an answer to an abandoned
/// attempt never matches a later one.
class Forwarder
{
public:
  using Actions = std::vector<ForwardAction>;

  /// Counters since the start.
  struct Statistics
  {
    std::uint64_t forwarded = 0;
    std::uint64_t resends = 0;
    std::uint64_t repliesIgnored = 0;
    std::uint64_t cancels = 0;
    std::uint64_t replicaReads = 0; ///< Read-only units that a replica answered.
    std::uint64_t primaryReads = 0; ///< Read-only units that the primary answered.
  };

  Forwarder(const EntryLimits& aLimits, std::uint64_t aSeed);

  Actions ApplyDirectory(std::shared_ptr<const Directory> aDirectory, Instant aNow);
  Actions OnLinkReady(const std::string& aAddress, Instant aNow);
  Actions OnLinkClosed(const std::string& aAddress, Instant aNow);

  /// Precondition: the channel has no unit.
  Actions Submit(ForwardUnit&& aUnit, Instant aNow);
  Actions OnReply(const std::string& aAddress, StatementReply&& aReply, Instant aNow);
  /// A SendToOwner of this sequence could not be executed: no byte of it was sent.
  Actions OnSendFailed(std::uint64_t aChannel, std::uint64_t aSequence, Instant aNow);
  /// Cancels the unit of the channel, if any.
  Actions Cancel(std::uint64_t aChannel, Instant aNow);
  /// The caller's session ended.
  Actions CloseChannel(std::uint64_t aChannel);
  /// Handles timers that are due.
  Actions Tick(Instant aNow);

  /// When Tick() has work next.
  std::optional<Instant> NextTimer() const;

  std::size_t WaitingUnits() const { return this->unsentUnits; }
  const Statistics& Stats() const { return this->statistics; }

private:
  enum class UnitState : std::uint8_t
  {
    Waiting,    ///< For an owner or a link.
    BackingOff, ///< Until the timer.
    Sent,
  };

  struct Unit
  {
    ForwardUnit forward;
    UnitState state = UnitState::Waiting;
    Instant deadline;
    std::optional<Instant> timer;
    std::string address;
    std::uint64_t sequence = 0;
    std::uint64_t epoch = 0;
    std::uint32_t failures = 0;
    bool mayHaveRun = false;      ///< An earlier attempt may have reached a backend server.
    bool piecesDelivered = false; ///< The caller has a part of an answer.
    bool leaseExpired = false;    ///< A write acknowledgement came after the lease.
    bool canceled = false;
    std::optional<StatementReply> lastRefusal; ///< The last answer that said "not run".
  };

  struct Channel
  {
    std::uint64_t nextSequence = 1;
    std::string transactionOwnerAddress; ///< Owner that holds an open transaction; empty for none.
    std::uint64_t transactionOwnerEpoch = 0;
    std::set<std::string> contactedOwners; ///< Owners that know this channel.
    std::optional<Unit> unit;
  };

  using Channels = std::unordered_map<std::uint64_t, Channel>;

  void Dispatch(std::uint64_t aId, Channel& aChannel, Instant aNow, Actions& aActions);
  void Send(std::uint64_t aId,
            Channel& aChannel,
            const std::string& aAddress,
            std::uint64_t aEpoch,
            Instant aNow,
            Actions& aActions);
  void HandleFinalPiece(std::uint64_t aId,
                        Channel& aChannel,
                        StatementReply&& aReply,
                        Instant aNow,
                        Actions& aActions);
  /// The attempt may have run and its answer will not come or must not be relayed.
  void HandleUnknownOutcome(std::uint64_t aId,
                            Channel& aChannel,
                            StatementReply&& aFailure,
                            Instant aNow,
                            Actions& aActions);
  void HandleTimer(std::uint64_t aId, Channel& aChannel, Instant aNow, Actions& aActions);
  void BackOffUntilRetry(std::uint64_t aId, Unit& aUnit, Instant aNow);
  /// Ends the unit with an answer.
  void Finish(std::uint64_t aId, Channel& aChannel, StatementReply&& aReply, Actions& aActions);
  void FinishWithFailure(std::uint64_t aId,
                         Channel& aChannel,
                         ResultCode aCode,
                         RunState aRunState,
                         Actions& aActions);
  void SetState(std::uint64_t aId, Unit& aUnit, UnitState aState, std::optional<Instant> aTimer);
  void RemoveUnit(std::uint64_t aId, Channel& aChannel);

  EntryLimits limits;
  BackOff backOff;
  RetryBudget budget;
  std::shared_ptr<const Directory> directory;
  std::set<std::string> readyLinks;
  Channels channels;
  std::set<std::pair<Instant, std::uint64_t>> waiting; ///< By arrival.
  std::set<std::pair<Instant, std::uint64_t>> timers;
  std::size_t unsentUnits = 0;   ///< Waiting or backing off.
  std::size_t bufferedBytes = 0; ///< Of all units.
  Statistics statistics;
};

} // namespace oleanderledge
