#include "oleanderledge/control/ServiceCoordinator.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace oleanderledge {

namespace {

/// Servers that registered and are not recorded, because the registration is still being replicated
/// or they left long ago.
constexpr std::size_t kMaxUnrecorded = 1024;
/// A server may be removed if there are too many once it has been silent for this many times the
/// time after which it counts as lost.
constexpr int kLongSilenceFactor = 4;

std::string ToText(const LogPosition& aPosition)
{
  return std::to_string(aPosition.term) + "." + std::to_string(aPosition.offset);
}

std::string ToText(const std::map<std::string, LogPosition, std::less<>>& aPositions)
{
  std::string text;
  for (const auto& [name, position] : aPositions) {
    text += (text.empty() ? "" : ",") + name + ":" + ToText(position);
  }
  return text;
}

} // namespace

std::string_view ToString(PromotionOutcome aOutcome)
{
  switch (aOutcome) {
    case PromotionOutcome::Accepted:
      return "accepted";
    case PromotionOutcome::Refused:
      return "refused";
    case PromotionOutcome::Unanswered:
      break;
  }
  return "unanswered";
}

ServiceCoordinator::ServiceCoordinator(const ControlState& aState,
                                       std::string aSelf,
                                       ServiceTimings aTimings)
  : state(aState)
  , self(std::move(aSelf))
  , timings(aTimings)
{
}

void ServiceCoordinator::OnLeadershipGained(Instant aNow)
{
  this->isLeading = true;
  this->leaderSince = aNow;
  this->progressByService.clear();
  this->pendingKeys.clear();
}

void ServiceCoordinator::OnLeadershipLost()
{
  this->isLeading = false;
}

void ServiceCoordinator::OnRegistration(const BackendRow& aBackend, Instant aNow)
{
  const auto& recorded = this->state.Backends().Backends();
  if (this->lastRegistrations.size() > recorded.size() + kMaxUnrecorded) {
    std::erase_if(this->lastRegistrations,
                  [&recorded](const auto& aEach) { return !recorded.contains(aEach.first); });
  }
  LastRegistration& known = this->lastRegistrations[aBackend.name];
  // A delayed registration does not show that the server still runs.
  if (std::tie(aBackend.startedUnixMs, aBackend.sequence) <=
      std::tie(known.startedUnixMs, known.sequence)) {
    return;
  }
  known = { aBackend.startedUnixMs, aBackend.sequence, aNow, aBackend.claimsPrimary };
}

void ServiceCoordinator::OnReinstated(const BackendRow& aBackend, Instant aNow)
{
  this->lastRegistrations[aBackend.name] = {
    aBackend.startedUnixMs, aBackend.sequence, aNow, aBackend.claimsPrimary
  };
  this->reinstatedAt[aBackend.service] = aNow;
}

bool ServiceCoordinator::IsSucceeded(const BackendRow& aBackend, Instant aNow) const
{
  return std::ranges::any_of(
    this->state.Backends().Backends(), [this, &aBackend, aNow](const auto& aEach) {
      const BackendRow& other = aEach.second;
      return !other.deleted && other.name != aBackend.name && other.address == aBackend.address &&
             other.startedUnixMs >= aBackend.startedUnixMs &&
             this->SilenceOf(other.name, aNow) <= this->timings.RegistrationTimeout();
    });
}

const BackendRow* ServiceCoordinator::FindLongSilent(Instant aNow) const
{
  const BackendRow* longest = nullptr;
  Duration silence = this->timings.RegistrationTimeout() * kLongSilenceFactor;
  for (const auto& [name, row] : this->state.Backends().Backends()) {
    const PrimaryRow* primary = this->state.Backends().FindPrimary(row.service);
    const bool isPrimary = primary != nullptr && primary->backend == name;
    if (!row.deleted && !isPrimary && this->SilenceOf(name, aNow) > silence) {
      longest = &row;
      silence = this->SilenceOf(name, aNow);
    }
  }
  return longest;
}

void ServiceCoordinator::OnBackendReports(const std::string& aProxy,
                                          const std::vector<BackendReport>& aReports,
                                          Instant aNow)
{
  ProxyReports& set = this->reports[aProxy];
  set.at = aNow;
  set.byBackend.clear();
  for (const BackendReport& report : aReports) {
    set.byBackend[report.backend] = report;
  }
}

void ServiceCoordinator::OnCommitReports(const std::string& aProxy,
                                         const std::vector<CommitReport>& aReports)
{
  ProxyReports& set = this->reports[aProxy];
  set.silentVersions.clear();
  for (const CommitReport& report : aReports) {
    set.silentVersions[report.service] = report.silentVersion;
  }
}

void ServiceCoordinator::OnTick(Instant aNow, ControlActions& aActions)
{
  if (!this->isLeading) {
    return;
  }
  const Duration kept = std::max(this->timings.reportLifetime, this->timings.closeTimeout);
  std::erase_if(this->reports,
                [aNow, kept](const auto& aEach) { return aNow - aEach.second.at > kept; });
  std::set<std::string> services;
  for (const auto& [name, backend] : this->state.Backends().Backends()) {
    if (this->state.Routes().MayHaveService(backend.service)) {
      services.insert(backend.service);
    }
  }
  for (const std::string& service : services) {
    this->StepService(service, aNow, aActions);
  }
}

void ServiceCoordinator::StepService(const std::string& aService,
                                     Instant aNow,
                                     ControlActions& aActions)
{
  if (this->IsPending(aService)) {
    return;
  }
  Progress& progress = this->progressByService[aService];
  const PrimaryRow* row = this->state.Backends().FindPrimary(aService);
  if (row != nullptr && row->phase == PrimaryPhase::Promoting) {
    this->StepPromotion(*row, progress, aNow, aActions);
    return;
  }
  if (row != nullptr) {
    this->StepSettling(*row, progress, aNow, aActions);
    if (this->IsPending(aService)) {
      return;
    }
  }
  if (row != nullptr && row->phase == PrimaryPhase::Closing) {
    this->StepClosing(*row, progress, aNow, aActions);
    return;
  }
  if (row != nullptr) {
    this->StepSilence(*row, aNow, aActions);
    if (this->IsPending(aService)) {
      return;
    }
  }
  const BackendRow* claiming = this->ClaimingPrimary(aService);
  const BackendRow* current = row == nullptr ? nullptr : this->state.Backends().Find(row->backend);
  const bool isLost = current == nullptr || !current->claimsPrimary;
  // A server may be primary without a decision of this leader: when the service starts, or after a
  // promotion whose answer was lost. A claim that is older than the last decision comes from the
  // primary that was replaced.
  const bool isNewClaim =
    claiming != nullptr &&
    (row == nullptr || (claiming->name != row->backend && claiming->version > row->version));
  if (isLost && isNewClaim) {
    progress.queryRound.reset();
    this->Propose(
      aService,
      AdoptServicePrimary{ aService, row == nullptr ? 0 : row->version, claiming->name },
      aActions);
    return;
  }
  if (row == nullptr || row->backend.empty()) {
    if (progress.noPrimarySince == Instant{}) {
      progress.noPrimarySince = aNow;
    }
    if (aNow - progress.noPrimarySince > this->timings.noPrimaryTimeout) {
      this->ProposePrimary(
        aService, row == nullptr ? 0 : row->version, "no_primary", aNow, aActions);
    }
    return;
  }
  if (aNow - progress.confirmedAt < this->timings.postPromotionDelay) {
    return;
  }
  const std::string_view reason = this->ReplacementReason(*row, aNow);
  if (reason.empty()) {
    progress.queryRound.reset();
    return;
  }
  this->ProposePrimary(aService, row->version, reason, aNow, aActions);
}

std::string_view ServiceCoordinator::ReplacementReason(const PrimaryRow& aRow, Instant aNow) const
{
  const BackendRow* primary = this->state.Backends().Find(aRow.backend);
  if (primary == nullptr) {
    return "left";
  }
  if (primary->draining) {
    return "draining";
  }
  // A new leader has neither registrations nor reports yet.
  if (aNow - this->leaderSince < this->timings.registrationInterval) {
    return {};
  }
  // A change of primary ends once the new one registers as primary, so it did so before.
  if (!primary->claimsPrimary) {
    return "demoted";
  }
  const BackendReachability reachability = this->ReachabilityOf(aRow.backend, aNow);
  if (reachability.answeringProxies > 0) {
    return {};
  }
  const Duration silence = this->SilenceOf(aRow.backend, aNow);
  if (silence < this->timings.minorityFailoverDelay && !this->AtLeastHalfOfProxiesReport(aNow)) {
    return {};
  }
  if (silence > this->timings.RegistrationTimeout()) {
    return "silent";
  }
  if (reachability.failingProxies == 0) {
    return {};
  }
  if (reachability.failingFor > this->timings.unreachableAfter &&
      silence > this->timings.unreachableAfter) {
    return "unreachable";
  }
  return reachability.failingFor > this->timings.isolatedAfter ? "isolated" : "";
}

void ServiceCoordinator::StepClosing(const PrimaryRow& aRow,
                                     Progress& aProgress,
                                     Instant aNow,
                                     ControlActions& aActions)
{
  if (aProgress.closedVersion != aRow.version) {
    aProgress.closedVersion = aRow.version;
    aProgress.closedAt = aNow;
    // Positions that were read before may lack commits that were acknowledged since.
    aProgress.queryRound.reset();
  }
  const Duration elapsed = aNow - aProgress.closedAt;
  const std::string_view reason = this->ReplacementReason(aRow, aNow);
  if (reason.empty()) {
    // A new leader does not know yet whether the primary is silent.
    if (aNow - this->leaderSince >= this->timings.registrationInterval) {
      this->KeepPrimary(aRow, aRow.backend, "answers_again", aProgress, aActions);
    }
    return;
  }
  if (!this->HaveProxiesClosed(aRow, aNow) && elapsed < this->timings.closeTimeout) {
    return;
  }
  const BackendRow* primary = this->state.Backends().Find(aRow.backend);
  const bool canGoOn = primary != nullptr && primary->claimsPrimary &&
                       this->SilenceOf(aRow.backend, aNow) <= this->timings.RegistrationTimeout();
  if (canGoOn && elapsed > this->timings.reopenAfter) {
    this->KeepPrimary(aRow, aRow.backend, "no_successor", aProgress, aActions);
    return;
  }
  this->ProposePrimary(aRow.name, aRow.version, reason, aNow, aActions);
}

void ServiceCoordinator::KeepPrimary(const PrimaryRow& aRow,
                                     std::string aPrimary,
                                     std::string_view aReason,
                                     Progress& aProgress,
                                     ControlActions& aActions)
{
  aProgress.queryRound.reset();
  aProgress.replaced.reset();
  aActions.push_back(LogAction{ LogEvent::ServicePrimaryKept,
                                "service=" + aRow.name + " backend=" + aPrimary +
                                  " reason=" + std::string(aReason) +
                                  " version=" + std::to_string(aRow.version) });
  this->Propose(
    aRow.name, AdoptServicePrimary{ aRow.name, aRow.version, std::move(aPrimary) }, aActions);
}

bool ServiceCoordinator::HaveProxiesClosed(const PrimaryRow& aRow, Instant aNow) const
{
  // A server that has ended takes no commits.
  if (this->state.Backends().Find(aRow.backend) == nullptr) {
    return true;
  }
  // Proxies that the previous leader answered may commit, and may be unknown here.
  if (aNow - this->leaderSince < this->timings.closeTimeout) {
    return false;
  }
  // A proxy that has sent nothing for `closeTimeout` commits nothing more; see kCommitValidity.
  return std::ranges::all_of(this->reports, [this, &aRow, aNow](const auto& aEach) {
    const auto report = aEach.second.byBackend.find(aRow.backend);
    return aNow - aEach.second.at > this->timings.closeTimeout ||
           (report != aEach.second.byBackend.end() && report->second.closedVersion == aRow.version);
  });
}

std::uint32_t ServiceCoordinator::SyncReplicasOf(std::string_view aService) const
{
  const auto& services = this->state.Routes().Services();
  const auto found = services.find(aService);
  return found == services.end() ? 0 : found->second.syncReplicas;
}

void ServiceCoordinator::StepPromotion(const PrimaryRow& aRow,
                                       Progress& aProgress,
                                       Instant aNow,
                                       ControlActions& aActions)
{
  if (aProgress.fence != aRow.fence) {
    std::optional<PrimaryRow> replaced = std::exchange(aProgress.replaced, std::nullopt);
    aProgress = Progress{};
    aProgress.fence = aRow.fence;
    aProgress.decidedAt = aNow;
    aProgress.replaced = std::move(replaced);
  }
  const BackendRow* decided = this->state.Backends().Find(aRow.backend);
  if (decided != nullptr && this->HasPromotionEnded(aRow, *decided, aProgress)) {
    aProgress.confirmedAt = aNow;
    this->Propose(aRow.name, ConfirmServicePrimary{ aRow.name, aRow.fence }, aActions);
    return;
  }
  if (decided == nullptr) {
    this->ProposePrimary(aRow.name, aRow.version, "left", aNow, aActions);
    return;
  }
  if (aRow.holder != this->self) {
    this->TakeOverPromotion(aRow, *decided, aNow, aActions);
    return;
  }
  const auto refused = this->refusedAt.find(aRow.backend);
  const bool wasRefused =
    refused != this->refusedAt.end() && refused->second >= aProgress.decidedAt;
  const Instant waitingSince = aProgress.acceptedAt.value_or(aProgress.decidedAt);
  if (wasRefused || aNow - waitingSince > this->timings.promotionTimeout) {
    const std::string_view timeout = aProgress.acceptedAt ? "not_leading" : "promotion_timeout";
    this->ProposePrimary(aRow.name, aRow.version, wasRefused ? "refused" : timeout, aNow, aActions);
    return;
  }
  if (aProgress.callPending || aProgress.acceptedAt ||
      aNow - aProgress.calledAt < this->timings.callRetryInterval) {
    return;
  }
  // The primary may have answered again while the decision was being committed.
  if (aProgress.replaced && aProgress.calledAt == Instant{} &&
      this->ReplacementReason(*aProgress.replaced, aNow).empty()) {
    this->KeepPrimary(aRow, aProgress.replaced->backend, "answers_again", aProgress, aActions);
    return;
  }
  aProgress.callPending = true;
  aProgress.calledAt = aNow;
  aActions.push_back(PromoteBackendAction{ aRow.name, aRow.backend, aRow.fence });
}

bool ServiceCoordinator::HasPromotionEnded(const PrimaryRow& aRow,
                                           const BackendRow& aDecided,
                                           const Progress& aProgress) const
{
  // The answer to the call may be lost, or may have gone to an earlier leader.
  if (aDecided.claimsPrimary && aDecided.version > aRow.version) {
    return true;
  }
  const auto last = this->lastRegistrations.find(aDecided.name);
  return aProgress.acceptedAt && last != this->lastRegistrations.end() &&
         last->second.claimsPrimary &&
         last->second.at >= *aProgress.acceptedAt + this->timings.promotionSettling;
}

/// Makes the decision of another control instance again, because a fence is used by one holder
/// only. The server stays the same if it can: it was chosen by positions, and may lead by now.
void ServiceCoordinator::TakeOverPromotion(const PrimaryRow& aRow,
                                           const BackendRow& aDecided,
                                           Instant aNow,
                                           ControlActions& aActions)
{
  if (!this->ExclusionReason(aDecided, "", aNow).empty()) {
    this->ProposePrimary(aRow.name, aRow.version, "new_holder", aNow, aActions);
    return;
  }
  aActions.push_back(LogAction{
    LogEvent::ServicePrimaryDecided,
    "service=" + aRow.name + " backend=" + aDecided.name + " replaces=" + aDecided.name +
      " reason=new_holder version=" + std::to_string(aRow.version) + " received=unknown" });
  this->Propose(aRow.name,
                DecideServicePrimary{ aRow.name, aRow.version, aDecided.name, this->self },
                aActions);
}

void ServiceCoordinator::OnPromotionAnswer(const std::string& aService,
                                           std::uint64_t aFence,
                                           PromotionOutcome aOutcome,
                                           Instant aNow,
                                           ControlActions& aActions)
{
  Progress& progress = this->progressByService[aService];
  const PrimaryRow* row = this->state.Backends().FindPrimary(aService);
  if (!this->isLeading || row == nullptr || row->fence != aFence || progress.fence != aFence) {
    return;
  }
  progress.callPending = false;
  if (aOutcome == PromotionOutcome::Refused) {
    this->refusedAt[row->backend] = aNow;
  }
  // Until the server leads, the old primary may still take commits, which are lost then.
  if (aOutcome == PromotionOutcome::Accepted) {
    progress.acceptedAt = aNow;
  }
}

void ServiceCoordinator::ProposePrimary(const std::string& aService,
                                        std::uint64_t aVersion,
                                        std::string_view aReason,
                                        Instant aNow,
                                        ControlActions& aActions)
{
  const auto reinstated = this->reinstatedAt.find(aService);
  if (reinstated != this->reinstatedAt.end() &&
      aNow - reinstated->second < this->timings.ReinstatementDelay()) {
    return;
  }
  const PrimaryRow* row = this->state.Backends().FindPrimary(aService);
  const std::string replaced = row == nullptr ? "" : row->backend;
  const BackendRow* candidate = this->MostAdvancedCandidate(aService, replaced, aNow, aActions);
  // The same server is decided again under a new fence if the platform did not answer, or if it
  // does not lead and there is no other candidate.
  const bool staysDecided =
    aReason == "promotion_timeout" ||
    (aReason == "not_leading" && this->Candidates(aService, replaced, aNow).empty());
  if (candidate == nullptr && staysDecided) {
    candidate = this->state.Backends().Find(replaced);
  }
  if (candidate == nullptr) {
    this->LogWithoutCandidate(aService, aVersion, aReason, replaced, aNow, aActions);
    return;
  }
  std::string positions;
  if (auto& queryRound = this->progressByService[aService].queryRound) {
    positions = ToText(queryRound->received);
    queryRound.reset();
  }
  // What the primary acknowledges after the positions were read may be missing on the candidate.
  if (row != nullptr && row->phase == PrimaryPhase::Steady && this->SyncReplicasOf(aService) > 0) {
    aActions.push_back(LogAction{ LogEvent::ServicePrimaryClosing,
                                  "service=" + aService + " backend=" + replaced + " reason=" +
                                    std::string(aReason) + " version=" + std::to_string(aVersion) +
                                    " received=" + (positions.empty() ? "unknown" : positions) });
    this->Propose(aService, CloseServicePrimary{ aService, aVersion }, aActions);
    return;
  }
  aActions.push_back(LogAction{ LogEvent::ServicePrimaryDecided,
                                "service=" + aService + " backend=" + candidate->name +
                                  " replaces=" + replaced + " reason=" + std::string(aReason) +
                                  " version=" + std::to_string(aVersion) +
                                  " received=" + (positions.empty() ? "unknown" : positions) });
  const bool isReplacement = row != nullptr && row->phase != PrimaryPhase::Promoting;
  this->progressByService[aService].replaced = isReplacement ? std::optional(*row) : std::nullopt;
  this->Propose(
    aService, DecideServicePrimary{ aService, aVersion, candidate->name, this->self }, aActions);
}

const BackendRow* ServiceCoordinator::ClaimingPrimary(std::string_view aService) const
{
  const BackendRow* claiming = nullptr;
  for (const auto& [name, backend] : this->state.Backends().Backends()) {
    if (backend.deleted || backend.service != aService || !backend.claimsPrimary ||
        backend.draining || (claiming != nullptr && backend.version < claiming->version)) {
      continue;
    }
    claiming = &backend;
  }
  return claiming;
}

std::vector<const BackendRow*> ServiceCoordinator::Candidates(std::string_view aService,
                                                              std::string_view aExcluded,
                                                              Instant aNow) const
{
  std::vector<const BackendRow*> candidates;
  for (const auto& [name, backend] : this->state.Backends().Backends()) {
    if (backend.deleted || backend.service != aService ||
        !this->ExclusionReason(backend, aExcluded, aNow).empty()) {
      continue;
    }
    candidates.push_back(&backend);
  }
  return candidates;
}

std::string_view ServiceCoordinator::ExclusionReason(const BackendRow& aBackend,
                                                     std::string_view aExcluded,
                                                     Instant aNow) const
{
  if (aBackend.draining) {
    return "draining";
  }
  if (aBackend.name == aExcluded) {
    return "replaced";
  }
  const auto refused = this->refusedAt.find(aBackend.name);
  if (refused != this->refusedAt.end() && aNow - refused->second < this->timings.refusalBackoff) {
    return "refused";
  }
  return this->SilenceOf(aBackend.name, aNow) > this->timings.RegistrationTimeout() ? "silent" : "";
}

void ServiceCoordinator::LogWithoutCandidate(const std::string& aService,
                                             std::uint64_t aVersion,
                                             std::string_view aReason,
                                             std::string_view aExcluded,
                                             Instant aNow,
                                             ControlActions& aActions)
{
  Progress& progress = this->progressByService[aService];
  if (progress.loggedWithoutCandidate == aVersion ||
      !this->Candidates(aService, aExcluded, aNow).empty()) {
    return;
  }
  progress.loggedWithoutCandidate = aVersion;
  std::string excluded;
  for (const auto& [name, backend] : this->state.Backends().Backends()) {
    if (backend.deleted || backend.service != aService) {
      continue;
    }
    excluded += (excluded.empty() ? "" : ",") + name + ":" +
                std::string(this->ExclusionReason(backend, aExcluded, aNow));
  }
  aActions.push_back(LogAction{ LogEvent::ServiceWithoutCandidate,
                                "service=" + aService + " primary=" + std::string(aExcluded) +
                                  " reason=" + std::string(aReason) +
                                  " version=" + std::to_string(aVersion) +
                                  " servers=" + (excluded.empty() ? "none" : excluded) });
}

const BackendRow* ServiceCoordinator::BestCandidate(std::string_view aService,
                                                    std::string_view aExcluded,
                                                    Instant aNow) const
{
  const BackendRow* best = nullptr;
  std::tuple<bool, bool, Duration> bestRank;
  for (const BackendRow* backend : this->Candidates(aService, aExcluded, aNow)) {
    const BackendReachability reachability = this->ReachabilityOf(backend->name, aNow);
    const std::tuple rank(reachability.answeringProxies > 0,
                          reachability.failingProxies == 0,
                          -this->SilenceOf(backend->name, aNow));
    if (best == nullptr || rank > bestRank) {
      best = backend;
      bestRank = rank;
    }
  }
  return best;
}

std::vector<const BackendRow*> ServiceCoordinator::QueriedServers(std::string_view aService,
                                                                  std::string_view aExcluded,
                                                                  Instant aNow) const
{
  std::vector<const BackendRow*> servers = this->Candidates(aService, aExcluded, aNow);
  if (this->SyncReplicasOf(aService) == 0) {
    return servers;
  }
  for (const auto& [name, backend] : this->state.Backends().Backends()) {
    if (!backend.deleted && backend.service == aService && backend.draining && name != aExcluded &&
        this->SilenceOf(name, aNow) <= this->timings.RegistrationTimeout()) {
      servers.push_back(&backend);
    }
  }
  return servers;
}

void ServiceCoordinator::StepSilence(const PrimaryRow& aRow, Instant aNow, ControlActions& aActions)
{
  const Duration timeout = this->timings.RegistrationTimeout();
  // A new leader has not heard of any server yet.
  if (aNow - this->leaderSince <= timeout) {
    return;
  }
  const auto isSilent = [this, aNow, timeout](const BackendRow& aBackend) {
    return this->SilenceOf(aBackend.name, aNow) > timeout &&
           this->ReachabilityOf(aBackend.name, aNow).answeringProxies == 0;
  };
  std::vector<const BackendRow*> replicas;
  std::uint32_t heard = 0;
  for (const auto& [name, backend] : this->state.Backends().Backends()) {
    if (backend.deleted || backend.service != aRow.name || name == aRow.backend) {
      continue;
    }
    replicas.push_back(&backend);
    heard += isSilent(backend) || backend.draining ? 0 : 1;
  }
  // Without enough others, commits can only rely on the silent ones.
  const std::uint32_t syncReplicas = this->SyncReplicasOf(aRow.name);
  const bool hasEnough = syncReplicas > 0 && heard >= syncReplicas;
  for (const BackendRow* replica : replicas) {
    const bool isLeftOut = hasEnough && isSilent(*replica);
    if (replica->isSilent == isLeftOut) {
      continue;
    }
    aActions.push_back(LogAction{ LogEvent::BackendSilence,
                                  "service=" + aRow.name + " backend=" + replica->name +
                                    " silent=" + (isLeftOut ? "yes" : "no") +
                                    " heard=" + std::to_string(heard) });
    this->Propose(
      aRow.name, SetBackendSilence{ replica->name, replica->version, isLeftOut }, aActions);
    return;
  }
}

bool ServiceCoordinator::HaveProxiesLeftOutSilent(std::string_view aService,
                                                  std::uint64_t aVersion,
                                                  Instant aNow) const
{
  // As in HaveProxiesClosed().
  if (aNow - this->leaderSince < this->timings.closeTimeout) {
    return false;
  }
  return std::ranges::all_of(this->reports, [this, aService, aVersion, aNow](const auto& aEach) {
    const auto known = aEach.second.silentVersions.find(aService);
    return aNow - aEach.second.at > this->timings.closeTimeout ||
           (known != aEach.second.silentVersions.end() && known->second >= aVersion);
  });
}

bool ServiceCoordinator::CountsForCommits(const BackendRow& aBackend) const
{
  const PrimaryRow* row = this->state.Backends().FindPrimary(aBackend.service);
  const bool isLeftOut =
    aBackend.isSilent && row != nullptr && aBackend.version <= row->settledVersion;
  return !aBackend.deleted && !isLeftOut;
}

void ServiceCoordinator::StepSettling(const PrimaryRow& aRow,
                                      Progress& aProgress,
                                      Instant aNow,
                                      ControlActions& aActions)
{
  const std::uint32_t syncReplicas = this->SyncReplicasOf(aRow.name);
  std::uint64_t departedVersion = 0;
  std::uint64_t silentVersion = 0;
  std::vector<const BackendRow*> servers;
  for (const auto& [name, backend] : this->state.Backends().Backends()) {
    if (backend.service != aRow.name) {
      continue;
    }
    if (backend.deleted || backend.isSilent) {
      departedVersion = std::max(departedVersion, backend.version);
    } else {
      servers.push_back(&backend);
    }
    if (!backend.deleted && backend.isSilent) {
      silentVersion = std::max(silentVersion, backend.version);
    }
  }
  std::optional<Settling>& settling = aProgress.settling;
  // What the primary confirms before all proxies leave the silent replicas out may be on those
  // alone.
  if (syncReplicas == 0 || departedVersion <= aRow.settledVersion ||
      (silentVersion > 0 && !this->HaveProxiesLeftOutSilent(aRow.name, silentVersion, aNow))) {
    settling.reset();
    return;
  }
  const bool isNew = !settling || settling->departedVersion != departedVersion ||
                     settling->rowVersion != aRow.version;
  if (isNew) {
    settling = Settling{ departedVersion, aRow.version, std::nullopt, {} };
    this->StartPositionQueries(settling->round, servers, aNow, aActions);
    return;
  }
  const PositionQueryRound& round = settling->round;
  const Duration elapsed = aNow - round.startedAt;
  if (round.answered.size() < round.queried.size() &&
      elapsed < this->timings.positionQueryTimeout) {
    return;
  }
  const auto primary = round.received.find(aRow.backend);
  // A server that has lost the lead may lack commits of its successor.
  if (!settling->target && primary != round.received.end() &&
      round.leading.contains(aRow.backend)) {
    settling->target = primary->second;
  }
  const auto holders = std::ranges::count_if(round.received, [&](const auto& aEach) {
    return aEach.first != aRow.backend && settling->target && aEach.second >= *settling->target;
  });
  if (settling->target && holders >= static_cast<std::ptrdiff_t>(syncReplicas)) {
    aActions.push_back(LogAction{ LogEvent::ServiceDeparturesSettled,
                                  "service=" + aRow.name + " backend=" + aRow.backend +
                                    " version=" + std::to_string(departedVersion) +
                                    " position=" + ToText(*settling->target) +
                                    " holders=" + std::to_string(holders) });
    this->Propose(
      aRow.name, SettleDepartures{ aRow.name, aRow.version, departedVersion }, aActions);
    settling.reset();
    return;
  }
  if (elapsed >= this->timings.settlingInterval) {
    this->StartPositionQueries(settling->round, servers, aNow, aActions);
  }
}

std::vector<std::string> ServiceCoordinator::UnsettledDepartures(std::string_view aService) const
{
  const auto& backends = this->state.Backends().Backends();
  const PrimaryRow* row = this->state.Backends().FindPrimary(aService);
  const std::uint64_t settledVersion = row == nullptr ? 0 : row->settledVersion;
  std::vector<std::string> departures;
  for (const auto& each : backends) {
    const BackendRow& departed = each.second;
    if (!departed.deleted || departed.service != aService || departed.version <= settledVersion) {
      continue;
    }
    const bool hasSuccessor = std::ranges::any_of(backends, [&departed](const auto& aOther) {
      return !aOther.second.deleted && aOther.second.service == departed.service &&
             aOther.second.address == departed.address;
    });
    if (!hasSuccessor) {
      departures.push_back(departed.name);
    }
  }
  return departures;
}

bool ServiceCoordinator::MayLackCommits(const std::string& aService,
                                        const BackendRow* aChosen,
                                        const PositionQueryRound& aRound) const
{
  const std::uint32_t syncReplicas = this->SyncReplicasOf(aService);
  if (syncReplicas == 0) {
    return false;
  }
  // A server that drains, and is not chosen, may be ahead until the others have caught up.
  const auto chosen = aRound.received.find(aChosen == nullptr ? "" : aChosen->name);
  if (chosen != aRound.received.end() &&
      std::ranges::any_of(aRound.received,
                          [&chosen](const auto& aEach) { return aEach.second > chosen->second; })) {
    return true;
  }
  // Each confirmed commit is on its primary and on `syncReplicas` replicas, so one of the answering
  // servers has it if at most `syncReplicas` did not answer.
  std::size_t servers = this->UnsettledDepartures(aService).size();
  std::size_t answered = 0;
  for (const auto& [name, backend] : this->state.Backends().Backends()) {
    if (backend.service != aService || !this->CountsForCommits(backend)) {
      continue;
    }
    ++servers;
    answered += aRound.received.contains(name) ? 1 : 0;
  }
  return answered + syncReplicas < servers;
}

void ServiceCoordinator::LogMissingPositions(const std::string& aService, ControlActions& aActions)
{
  Progress& progress = this->progressByService[aService];
  const PrimaryRow* row = this->state.Backends().FindPrimary(aService);
  const std::uint64_t version = row == nullptr ? 0 : row->version;
  if (progress.loggedMissingPositions == version) {
    return;
  }
  progress.loggedMissingPositions = version;
  const std::string answered = ToText(progress.queryRound->received);
  std::string left;
  for (const std::string& name : this->UnsettledDepartures(aService)) {
    left += (left.empty() ? "" : ",") + name;
  }
  std::string missing;
  for (const auto& [name, backend] : this->state.Backends().Backends()) {
    if (backend.service == aService && this->CountsForCommits(backend) &&
        !progress.queryRound->received.contains(name)) {
      missing += (missing.empty() ? "" : ",") + name;
    }
  }
  aActions.push_back(LogAction{ LogEvent::ServicePositionsMissing,
                                "service=" + aService + " version=" + std::to_string(version) +
                                  " received=" + (answered.empty() ? "none" : answered) +
                                  " left=" + (left.empty() ? "none" : left) +
                                  " missing=" + (missing.empty() ? "none" : missing) });
}

void ServiceCoordinator::StartPositionQueries(PositionQueryRound& aRound,
                                              const std::vector<const BackendRow*>& aServers,
                                              Instant aNow,
                                              ControlActions& aActions)
{
  aRound = {};
  aRound.number = ++this->lastRound;
  aRound.startedAt = aNow;
  for (const BackendRow* server : aServers) {
    aRound.queried.insert(server->name);
    aActions.push_back(QueryPositionAction{ *server, aRound.number });
  }
}

const BackendRow* ServiceCoordinator::MostAdvancedCandidate(const std::string& aService,
                                                            std::string_view aExcluded,
                                                            Instant aNow,
                                                            ControlActions& aActions)
{
  const auto candidates = this->Candidates(aService, aExcluded, aNow);
  if (candidates.empty()) {
    return nullptr;
  }
  std::optional<PositionQueryRound>& queryRound = this->progressByService[aService].queryRound;
  // A leader without the leader lease decides nothing for a while, after which positions are old.
  const bool isOutdated =
    queryRound && aNow - queryRound->startedAt >= this->timings.positionQueryTimeout * 2;
  if (!queryRound || isOutdated) {
    queryRound = PositionQueryRound();
    this->StartPositionQueries(
      *queryRound, this->QueriedServers(aService, aExcluded, aNow), aNow, aActions);
    return nullptr;
  }
  const bool isComplete = queryRound->answered.size() == queryRound->queried.size();
  const bool isOver = aNow - queryRound->startedAt >= this->timings.positionQueryTimeout;
  if (!isComplete && !isOver) {
    return nullptr;
  }
  // Of two that have received the same, one that leads already needs no promotion.
  const auto isBehind = [&queryRound](const BackendRow* aLeft, const BackendRow* aRight) {
    const LogPosition& left = queryRound->received[aLeft->name];
    const LogPosition& right = queryRound->received[aRight->name];
    return left < right || (left == right && !aLeft->claimsPrimary && aRight->claimsPrimary);
  };
  const BackendRow* best = nullptr;
  for (const BackendRow* candidate : candidates) {
    if (queryRound->received.contains(candidate->name) &&
        (best == nullptr || isBehind(best, candidate))) {
      best = candidate;
    }
  }
  if (this->MayLackCommits(aService, best, *queryRound)) {
    if (isOver) {
      this->LogMissingPositions(aService, aActions);
      this->StartPositionQueries(
        *queryRound, this->QueriedServers(aService, aExcluded, aNow), aNow, aActions);
    }
    return nullptr;
  }
  return best != nullptr ? best : this->BestCandidate(aService, aExcluded, aNow);
}

void ServiceCoordinator::OnPosition(const std::string& aBackend,
                                    std::uint64_t aRound,
                                    const std::optional<ServerPosition>& aPosition)
{
  const auto record = [&](PositionQueryRound& aQueried) {
    if (aQueried.number != aRound) {
      return;
    }
    aQueried.answered.insert(aBackend);
    if (aPosition) {
      aQueried.received[aBackend] = aPosition->received;
    }
    if (aPosition && aPosition->leads) {
      aQueried.leading.insert(aBackend);
    }
  };
  for (auto& [service, progress] : this->progressByService) {
    if (progress.queryRound) {
      record(*progress.queryRound);
    }
    if (progress.settling) {
      record(progress.settling->round);
    }
  }
}

Duration ServiceCoordinator::SilenceOf(const std::string& aBackend, Instant aNow) const
{
  const auto found = this->lastRegistrations.find(aBackend);
  const Instant since = found == this->lastRegistrations.end()
                          ? this->leaderSince
                          : std::max(found->second.at, this->leaderSince);
  return aNow - since;
}

ServiceCoordinator::BackendReachability ServiceCoordinator::ReachabilityOf(
  std::string_view aBackend,
  Instant aNow) const
{
  BackendReachability reachability;
  for (const auto& [proxy, set] : this->reports) {
    const Duration age = aNow - set.at;
    if (age > this->timings.reportLifetime) {
      continue;
    }
    const auto found = set.byBackend.find(aBackend);
    if (found == set.byBackend.end()) {
      continue;
    }
    const BackendReport& report = found->second;
    if (report.failingMs == 0) {
      const Duration answered = std::chrono::milliseconds(report.answeredMsAgo) + age;
      reachability.answeringProxies +=
        report.answeredMsAgo >= 0 && answered < this->timings.reportLifetime;
      continue;
    }
    const Duration failingFor = std::chrono::milliseconds(report.failingMs);
    reachability.failingFor =
      reachability.failingProxies == 0 ? failingFor : std::min(reachability.failingFor, failingFor);
    ++reachability.failingProxies;
  }
  return reachability;
}

bool ServiceCoordinator::AtLeastHalfOfProxiesReport(Instant aNow) const
{
  const auto& instances = this->state.Instances();
  const auto registered = std::ranges::count_if(instances, [](const auto& aEach) {
    return aEach.second.role == InstanceRole::Proxy && !aEach.second.leaving;
  });
  const auto reporting = std::ranges::count_if(this->reports, [this, aNow](const auto& aEach) {
    return aNow - aEach.second.at <= this->timings.reportLifetime;
  });
  return reporting * 2 >= registered;
}

bool ServiceCoordinator::IsPending(const std::string& aService) const
{
  return this->pendingKeys.contains(std::string(kProposalKeyPrefix) + aService);
}

void ServiceCoordinator::Propose(const std::string& aService,
                                 ControlCommand aCommand,
                                 ControlActions& aActions)
{
  std::string key = std::string(kProposalKeyPrefix) + aService;
  this->pendingKeys.insert(key);
  aActions.push_back(ProposeAction{ std::move(key), std::move(aCommand) });
}

void ServiceCoordinator::OnProposalDone(std::string_view aKey)
{
  const auto found = this->pendingKeys.find(aKey);
  if (found != this->pendingKeys.end()) {
    this->pendingKeys.erase(found);
  }
}

} // namespace oleanderledge
