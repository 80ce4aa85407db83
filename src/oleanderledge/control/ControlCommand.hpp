#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/Messages.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace oleanderledge {

// Commands of the replicated log. `Visit` lists the fields of a struct in wire order; new fields go
// at the end. A command for a database carries the row version on which it was decided, so that a
// command that was proposed twice, or by two leaders, takes effect only once.

enum class ClassAction : std::uint8_t
{
  Create = 0,
  Set = 1,
  Delete = 2,
};

/// Change of one class of work by an operator.
struct ChangeClass
{
  std::string requestId;
  ClassAction action = ClassAction::Create;
  std::string name;
  std::int64_t targetMs = 0;
  std::uint64_t baseVersion = 0; ///< Configuration version that the change builds on.
  std::int64_t atUnixMs = 0;     ///< Time of the request at the leader, for the history only.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(
      this->requestId, this->action, this->name, this->targetMs, this->baseVersion, this->atUnixMs);
  }
};

/// Records a process, or its changed incarnation, addresses or state.
struct RegisterInstance
{
  InstanceInfo instance;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->instance);
  }
};

/// Removes a process that has been dead for long, unless it has registered again with another
/// incarnation.
struct ForgetInstance
{
  std::string id;
  std::uint64_t incarnation = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->id, this->incarnation);
  }
};

/// Creates or updates a slot from its announcement; creates the database if it is unknown.
struct UpdateSlot
{
  std::string database;
  std::uint64_t expectedVersion = 0; ///< 0: the database is unknown.
  std::string service;
  std::uint32_t connectionLimit = 0;
  SlotRow slot;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(
      this->database, this->expectedVersion, this->service, this->connectionLimit, this->slot);
  }
};

/// Removes a departed slot that is neither primary nor in sync.
struct RemoveSlot
{
  std::string database;
  std::uint64_t expectedVersion = 0;
  std::string slot;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->database, this->expectedVersion, this->slot);
  }
};

/// Accepts the announced primary of a database that never had one.
struct AdoptPrimary
{
  std::string database;
  std::uint64_t expectedVersion = 0;
  std::string slot;
  std::uint64_t term = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->database, this->expectedVersion, this->slot, this->term);
  }
};

/// Assigns the owner under a new epoch. Ends the phase `fencing` if its reason was a change of
/// owner.
struct AssignOwner
{
  std::string database;
  std::uint64_t expectedVersion = 0;
  std::string owner; ///< Empty: the database has no owner until a proxy is available.
  std::uint64_t incarnation = 0;
  std::string address;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->database, this->expectedVersion, this->owner, this->incarnation, this->address);
  }
};

/// Why a database is fenced.
enum class FencingReason : std::uint8_t
{
  PrimaryLost = 0,     ///< The primary is lost: a replica is promoted next.
  OwnerCutOff = 1,     ///< Only the owner cannot reach the primary: ownership moves next.
  OwnerLeaving = 2,    ///< The owner stops: ownership moves next.
  PromotionFailed = 3, ///< The promotion was not confirmed: another slot is chosen next.
};

/// Enters the phase `fencing`.
struct BeginFencing
{
  std::string database;
  std::uint64_t expectedVersion = 0;
  FencingReason reason = FencingReason::PrimaryLost;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->database, this->expectedVersion, this->reason);
  }
};

/// Enters the phase `waiting`, because no slot of the in-sync set is reachable. The owner gets a
/// new epoch, because the lease of the previous one has ended, and continues to serve reads with an
/// accepted age.
struct BeginWaiting
{
  std::string database;
  std::uint64_t expectedVersion = 0;
  std::string owner;
  std::uint64_t ownerIncarnation = 0;
  std::string ownerAddress;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->database,
             this->expectedVersion,
             this->owner,
             this->ownerIncarnation,
             this->ownerAddress);
  }
};

/// Enters (`begin`) or abandons the phase `draining` of a planned change.
struct ChangeDraining
{
  std::string database;
  std::uint64_t expectedVersion = 0;
  bool begin = true;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->database, this->expectedVersion, this->begin);
  }
};

/// Decides the next primary and its term; enters the phase `promoting`.
struct DecidePromotion
{
  std::string database;
  std::uint64_t expectedVersion = 0;
  std::string slot;
  std::uint64_t term = 0;
  /// Owner under a new epoch, decided in the same step. Empty: the database has no owner until a
  /// proxy is available. In a planned change, the owner and epoch stay and these fields are
  /// ignored.
  std::string owner;
  std::uint64_t ownerIncarnation = 0;
  std::string ownerAddress;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->database,
             this->expectedVersion,
             this->slot,
             this->term,
             this->owner,
             this->ownerIncarnation,
             this->ownerAddress);
  }
};

/// Ends a promotion that the slot confirmed; enters the phase `steady`.
struct CompletePromotion
{
  std::string database;
  std::uint64_t expectedVersion = 0;
  std::uint64_t term = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->database, this->expectedVersion, this->term);
  }
};

/// Replaces the in-sync set by the one that the owner proposed.
struct ChangeInSync
{
  std::string database;
  std::uint64_t expectedVersion = 0;
  std::uint64_t epoch = 0;
  std::uint64_t term = 0;
  std::vector<std::string> members;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->database, this->expectedVersion, this->epoch, this->term, this->members);
  }
};

/// Replaces routes and services, unless a configuration with the same or a higher number is
/// recorded.
struct StoreRouteConfiguration
{
  RouteConfiguration configuration;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->configuration);
  }
};

/// Records a registration of a backend server, unless a newer one is recorded.
struct UpdateBackend
{
  BackendRow backend;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->backend);
  }
};

/// Records the registration of a backend server that runs although its registrations are ignored
/// because of the present row; see IgnoredRegistrationWatch.
struct ReinstateBackend
{
  BackendRow backend;
  std::uint64_t expectedVersion = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->backend, this->expectedVersion);
  }
};

/// Removes a backend server, unless it has been started again.
struct RemoveBackend
{
  std::string backend;
  std::int64_t startedUnixMs = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->backend, this->startedUnixMs);
  }
};

/// Accepts a backend server that registered as primary of its service.
struct AdoptServicePrimary
{
  std::string service;
  std::uint64_t expectedVersion = 0; ///< 0: the service has no primary yet.
  std::string backend;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->service, this->expectedVersion, this->backend);
  }
};

/// Decides the next primary of a service. The log index becomes the fence of the promotion.
struct DecideServicePrimary
{
  std::string service;
  std::uint64_t expectedVersion = 0;
  std::string backend;
  std::string holder; ///< Control instance that calls for the promotion.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->service, this->expectedVersion, this->backend, this->holder);
  }
};

/// Records that the promotion under this fence was confirmed.
struct ConfirmServicePrimary
{
  std::string service;
  std::uint64_t fence = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->service, this->fence);
  }
};

/// Ends commits on the primary of a service before its successor is chosen.
struct CloseServicePrimary
{
  std::string service;
  std::uint64_t expectedVersion = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->service, this->expectedVersion);
  }
};

/// Records that servers which left the service, or fell silent, up to `departedVersion` need not be
/// asked for their positions any more.
struct SettleDepartures
{
  std::string service;
  std::uint64_t expectedVersion = 0;
  std::uint64_t departedVersion = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->service, this->expectedVersion, this->departedVersion);
  }
};

/// Records whether a replica is silent, see BackendRow::isSilent.
struct SetBackendSilence
{
  std::string backend;
  std::uint64_t expectedVersion = 0;
  bool isSilent = false;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->backend, this->expectedVersion, this->isSilent);
  }
};

/// Any command. The index of the alternative is the type number in the log, so new types go at the
/// end.
using ControlCommand = std::variant<ChangeClass,
                                    RegisterInstance,
                                    ForgetInstance,
                                    UpdateSlot,
                                    RemoveSlot,
                                    AdoptPrimary,
                                    AssignOwner,
                                    BeginFencing,
                                    BeginWaiting,
                                    ChangeDraining,
                                    DecidePromotion,
                                    CompletePromotion,
                                    ChangeInSync,
                                    StoreRouteConfiguration,
                                    UpdateBackend,
                                    RemoveBackend,
                                    AdoptServicePrimary,
                                    DecideServicePrimary,
                                    ConfirmServicePrimary,
                                    CloseServicePrimary,
                                    SettleDepartures,
                                    ReinstateBackend,
                                    SetBackendSilence>;

/// Encodes a command for the log.
std::string EncodeCommand(const ControlCommand& aCommand);

/// Decodes a command. Fails with MalformedFrame.
Result<ControlCommand> DecodeCommand(std::string_view aBytes);

/// Name of the database that a command changes, or empty for other commands.
std::string DatabaseOf(const ControlCommand& aCommand);

} // namespace oleanderledge
