#pragma once

#include "oleanderledge/control/ControlAction.hpp"
#include "oleanderledge/control/ControlState.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// Lengths of time that govern the change of primaries of registered services.
struct ServiceTimings
{
  /// Interval at which backend servers register again; from the settings.
  Duration registrationInterval = std::chrono::milliseconds(1200);
  /// A primary that no proxy could reach for this time, and that did not register meanwhile, is
  /// replaced. Longer than the timeout of one statement that is answered late.
  Duration unreachableAfter = std::chrono::milliseconds(700);
  /// A primary that no proxy could reach for this time is replaced although it registers.
  Duration isolatedAfter = std::chrono::milliseconds(2000);
  /// Reports of proxies count for this time: five heartbeats of 200 ms.
  Duration reportLifetime = std::chrono::milliseconds(1000);
  /// Time without any primary after which one is promoted. A service whose servers just started
  /// tells its primary by registration.
  Duration noPrimaryTimeout = std::chrono::milliseconds(2500);
  /// Servers that did not tell their position within this time are not waited for, unless the
  /// service confirms commits by its replicas. Several round trips between regions (24 ms).
  Duration positionQueryTimeout = std::chrono::milliseconds(250);
  /// Pause between two calls for one decision.
  Duration callRetryInterval = std::chrono::milliseconds(150);
  /// A decided server that is not confirmed within this time gives way to another.
  Duration promotionTimeout = std::chrono::milliseconds(2500);
  /// A server whose promotion was refused is not chosen again for this time.
  Duration refusalBackoff = std::chrono::milliseconds(2000);
  /// While most proxies are out of contact, a primary that is out of contact too is replaced only
  /// after this time: they may be on the same side of a partition and go on with it. Longer than
  /// the partitions that the platform announces, which last some seconds.
  Duration minorityFailoverDelay = std::chrono::milliseconds(8000);
  /// After a promotion, reports about the service count only from this time on.
  Duration postPromotionDelay = std::chrono::milliseconds(1500);

  /// Silence of registrations by which a server counts as lost: two intervals and one delay.
  Duration RegistrationTimeout() const
  {
    return this->registrationInterval * 2 + std::chrono::milliseconds(500);
  }
};

/// How a promotion call ended.
enum class PromotionOutcome : std::uint8_t
{
  Confirmed,
  Refused,    ///< A higher fence was used, or the server does not run.
  Unanswered, ///< May still be carried out; the fence is checked then.
};

/// For log lines.
std::string_view ToString(PromotionOutcome aOutcome);

/// Decides which backend server leads each registered service. Pure: events and the time go in,
/// actions come out.
///
/// A backend server that lost the lead refuses writes by itself, and the fence is checked when a
/// promotion is carried out, so a decision needs no lease of the old primary to expire.
class ServiceCoordinator
{
public:
  ServiceCoordinator(const ControlState& aState, std::string aSelf, ServiceTimings aTimings);

  void OnLeadershipGained(Instant aNow);
  void OnLeadershipLost();

  /// A registration arrived, whether or not it changes the state.
  void OnRegistration(const BackendRow& aBackend, Instant aNow);
  /// A proxy reported how backend servers answer.
  void OnBackendReports(const std::string& aProxy,
                        const std::vector<BackendReport>& aReports,
                        Instant aNow);
  void OnTick(Instant aNow, ControlActions& aActions);
  void OnProposalDone(std::string_view aKey);
  void OnPromotionAnswer(const std::string& aService,
                         std::uint64_t aFence,
                         PromotionOutcome aOutcome,
                         Instant aNow,
                         ControlActions& aActions);

  /// A backend server told its received position, or nothing.
  void OnPosition(const std::string& aBackend, const std::optional<LogPosition>& aReceived);

  /// Prefix of the keys of this class's proposals.
  static constexpr std::string_view kProposalKeyPrefix = "service/";

private:
  struct LastRegistration
  {
    std::int64_t startedUnixMs = 0;
    std::uint64_t sequence = 0;
    Instant at{};
  };
  struct ProxyReports
  {
    Instant at{};
    std::map<std::string, BackendReport, std::less<>> byBackend;
  };
  /// Question to all candidates for the lead of a service, before one is chosen.
  struct PositionQueryRound
  {
    Instant startedAt{};
    std::set<std::string, std::less<>> queried;
    std::set<std::string, std::less<>> answered;
    std::map<std::string, LogPosition, std::less<>> received;
  };
  struct Progress
  {
    std::optional<PositionQueryRound> queryRound;
    bool callPending = false;
    Instant calledAt{};
    Instant decidedAt{};
    std::uint64_t fence = 0;
    Instant noPrimarySince{};
    Instant confirmedAt{};
  };
  /// What the proxies say of one server.
  struct BackendReachability
  {
    int failingProxies = 0;
    int answeringProxies = 0;
    Duration failingFor{ 0 }; ///< Shortest time among those that fail.
  };

  void StepService(const std::string& aService, Instant aNow, ControlActions& aActions);
  void StepPromotion(const PrimaryRow& aRow,
                     Progress& aProgress,
                     Instant aNow,
                     ControlActions& aActions);
  void ProposePrimary(const std::string& aService,
                      std::uint64_t aVersion,
                      std::string_view aReason,
                      Instant aNow,
                      ControlActions& aActions);
  /// Why the primary must be replaced; empty if it need not be.
  std::string_view ReplacementReason(const PrimaryRow& aRow, Instant aNow) const;
  const BackendRow* ClaimingPrimary(std::string_view aService) const;
  /// Servers that may lead the service next.
  std::vector<const BackendRow*> Candidates(std::string_view aService,
                                            std::string_view aExcluded,
                                            Instant aNow) const;
  /// The candidate to prefer if no positions are known.
  const BackendRow* BestCandidate(std::string_view aService,
                                  std::string_view aExcluded,
                                  Instant aNow) const;
  /// The candidate that has received most, or null while the queryRound goes on.
  const BackendRow* MostAdvancedCandidate(const std::string& aService,
                                          std::string_view aExcluded,
                                          Instant aNow,
                                          ControlActions& aActions);
  void StartPositionQueries(PositionQueryRound& aRound,
                            const std::vector<const BackendRow*>& aCandidates,
                            Instant aNow,
                            ControlActions& aActions) const;
  Duration SilenceOf(const std::string& aBackend, Instant aNow) const;
  BackendReachability ReachabilityOf(std::string_view aBackend, Instant aNow) const;
  /// True if at least half of the registered proxies report.
  bool AtLeastHalfOfProxiesReport(Instant aNow) const;
  bool IsPending(const std::string& aService) const;
  void Propose(const std::string& aService, ControlCommand aCommand, ControlActions& aActions);

  const ControlState& state;
  std::string self;
  ServiceTimings timings;
  bool isLeading = false;
  Instant leaderSince{};
  std::map<std::string, LastRegistration, std::less<>> lastRegistrations;
  std::map<std::string, ProxyReports, std::less<>> reports;
  std::map<std::string, Progress, std::less<>> progressByService;
  std::map<std::string, Instant, std::less<>> refusedAt;
  std::set<std::string, std::less<>> pendingKeys;
};

} // namespace oleanderledge
