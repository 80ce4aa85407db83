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

/// Forwards units of callers to the owners of their databases and returns the owners' replies.
///
/// A channel is one caller's session and has at most one unit at a time. A unit without a reachable
/// owner waits until its deadline. A unit is sent again only if no earlier attempt can have run, or
/// if it is retry-safe and the retry budget allows it. Each attempt has a new sequence number, so a
/// reply to an abandoned attempt never matches a later one.
///
/// Performs no I/O and reads no clock: methods take the current time where they need it, and return
/// actions, which the calling code executes in order.
class Forwarder
{
public:
  using Actions = std::vector<ForwardAction>;

  /// Counters since the start.
  struct Statistics
  {
    std::uint64_t forwarded = 0;
    std::uint64_t resends = 0;        ///< Retries of units that may have run in an earlier attempt.
    std::uint64_t repliesIgnored = 0; ///< Replies that match no attempt in progress.
    std::uint64_t cancels = 0;
    std::uint64_t replicaReads = 0; ///< Read-only units that a replica answered.
    std::uint64_t primaryReads = 0; ///< Read-only units that the primary answered.
  };

  Forwarder(const EntryLimits& aLimits, std::uint64_t aSeed);

  /// Replaces the directory and dispatches the units that can be sent with the new one.
  Actions ApplyDirectory(std::shared_ptr<const Directory> aDirectory, Instant aNow);
  /// `aAddress` is the link address ("ip:port") of the owner, here and below.
  Actions OnLinkReady(const std::string& aAddress, Instant aNow);
  /// Units sent on this link are sent again if that is safe, or else end with OutcomeUnknown.
  Actions OnLinkClosed(const std::string& aAddress, Instant aNow);

  /// Takes a new unit, which ends with exactly one final piece. Precondition: the channel has no
  /// unit. The unit fails with Overloaded if `maxWaitingUnits` or `maxBufferedBytes` is exceeded,
  /// with UnknownDatabase if the directory does not have the database, and at its deadline with the
  /// owner's last refusal, or with NoOwner if there was none.
  Actions Submit(ForwardUnit&& aUnit, Instant aNow);
  /// Handles a reply of the owner; ignores it if it does not match the current attempt.
  Actions OnReply(const std::string& aAddress, StatementReply&& aReply, Instant aNow);
  /// The SendToOwner action with this sequence number could not be executed: no byte was sent. The
  /// unit is retried after a back-off; inside a transaction it fails with BackendConnectionLost.
  Actions OnSendFailed(std::uint64_t aChannel, std::uint64_t aSequence, Instant aNow);
  /// Cancels the unit of the channel, if any. If no attempt is in progress, the unit ends with
  /// QueryCanceled; otherwise the cancel request is forwarded and the owner's reply ends the unit.
  Actions Cancel(std::uint64_t aChannel, Instant aNow);
  /// Drops the channel and its unit after the caller's session ended.
  Actions CloseChannel(std::uint64_t aChannel);
  /// Handles the timers that have expired.
  Actions Tick(Instant aNow);

  /// Time of the next call of Tick(), if any timer is set.
  std::optional<Instant> NextTimer() const;

  /// Units that wait for an owner, a link or a retry.
  std::size_t WaitingUnits() const { return this->unsentUnits; }
  const Statistics& Stats() const { return this->statistics; }

private:
  enum class UnitState : std::uint8_t
  {
    Waiting,    ///< No owner is assigned or its link is not ready.
    BackingOff, ///< The next attempt starts when the timer expires.
    Sent,       ///< The reply of the owner is awaited.
  };

  struct Unit
  {
    ForwardUnit forward;
    UnitState state = UnitState::Waiting;
    Instant deadline; ///< End of the wait for an owner, a link or a retry.
    std::optional<Instant> timer;
    std::string address;        ///< Link address of the last attempt.
    std::uint64_t sequence = 0; ///< Of the last attempt.
    std::uint64_t epoch = 0;    ///< Owner epoch of the last attempt.
    std::uint32_t failures = 0;
    bool mayHaveRun = false;      ///< An earlier attempt may have reached a backend server.
    bool piecesDelivered = false; ///< Part of the answer was relayed to the caller.
    bool leaseExpired = false;    ///< A write acknowledgement arrived after the lease expired.
    bool canceled = false;
    std::optional<StatementReply> lastRefusal; ///< The owner's last reply with run state NotRun.
  };

  struct Channel
  {
    std::uint64_t nextSequence = 1;
    std::string transactionOwnerAddress; ///< Owner with the open transaction; empty if none.
    std::uint64_t transactionOwnerEpoch = 0;
    std::set<std::string> contactedOwners; ///< Owners that need a CloseChannel at the end.
    std::optional<Unit> unit;
  };

  using Channels = std::unordered_map<std::uint64_t, Channel>;

  /// Sends the unit if its owner is known and reachable; otherwise lets it wait or fails it.
  void Dispatch(std::uint64_t aId, Channel& aChannel, Instant aNow, Actions& aActions);
  void SendUnit(std::uint64_t aId,
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
  /// Handles an attempt that may have run and whose answer is lost or must not be relayed.
  void HandleUnknownOutcome(std::uint64_t aId,
                            Channel& aChannel,
                            StatementReply&& aFailure,
                            Instant aNow,
                            Actions& aActions);
  void HandleTimer(std::uint64_t aId, Channel& aChannel, Instant aNow, Actions& aActions);
  void BackOffUntilRetry(std::uint64_t aId, Unit& aUnit, Instant aNow);
  /// Delivers the final piece and removes the unit.
  void FinishUnit(std::uint64_t aId, Channel& aChannel, StatementReply&& aReply, Actions& aActions);
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
  std::set<std::pair<Instant, std::uint64_t>> waiting; ///< Arrival and channel.
  std::set<std::pair<Instant, std::uint64_t>> timers;  ///< Expiry and channel.
  std::size_t unsentUnits = 0;                         ///< Units in state Waiting or BackingOff.
  std::size_t bufferedBytes = 0; ///< Payload and prepared statements of all units.
  Statistics statistics;
};

} // namespace oleanderledge
