#include "oleanderledge/quotas/TokenLedger.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// An organisation without a refusal for this time is reported again at its next one.
constexpr Duration kRefusalQuietTime = std::chrono::seconds(30);

} // namespace

std::optional<TokenDecision> TokenLedger::Admit(Ticket aTicket,
                                                const OperationDemand& aDemand,
                                                Instant aNow)
{
  ++this->operationCounts[aDemand.organisation];
  Account& account = this->accounts[aDemand.organisation];
  const bool isPaused = aNow < account.requestFrom;
  const bool mayUseReserve = isPaused || aNow < this->leaderMissingUntil;
  if (auto token = this->TakeToken(aDemand.organisation, account, mayUseReserve, aNow)) {
    ++this->admitted;
    return TokenDecision{ std::move(token), {} };
  }
  const Instant tokenAt = std::max(account.retryAt, account.requestFrom);
  if (isPaused && aDemand.deadline < tokenAt) {
    return this->Refuse(aDemand.organisation, tokenAt - aNow, aNow);
  }
  this->waiting.emplace(aTicket, aDemand);
  this->deadlines.emplace(aDemand.deadline, aTicket);
  account.waiting.emplace(aDemand.priority, aDemand.deadline, aTicket);
  return std::nullopt;
}

void TokenLedger::Cancel(Ticket aTicket)
{
  if (this->waiting.contains(aTicket)) {
    this->RemoveWaiting(aTicket);
  }
}

void TokenLedger::RemoveWaiting(Ticket aTicket)
{
  const auto found = this->waiting.find(aTicket);
  const OperationDemand& demand = found->second;
  this->accounts[demand.organisation].waiting.erase({ demand.priority, demand.deadline, aTicket });
  this->deadlines.erase({ demand.deadline, aTicket });
  this->waiting.erase(found);
}

void TokenLedger::Return(const OperationToken& aToken, Instant aNow)
{
  if (aToken.expiresAt <= aNow) {
    return;
  }
  if (aToken.isShare) {
    this->shares.Return(aToken, aNow);
    return;
  }
  Account& account = this->accounts[aToken.organisation];
  account.tokens.insert(std::ranges::upper_bound(account.tokens, aToken.expiresAt),
                        aToken.expiresAt);
  this->ServeWaiting(aToken.organisation, account, false, aNow);
}

std::optional<OperationToken> TokenLedger::TakeToken(const std::string& aOrganisation,
                                                     Account& aAccount,
                                                     bool aMayUseReserve,
                                                     Instant aNow)
{
  std::erase_if(aAccount.tokens, [aNow](Instant aExpiresAt) { return aExpiresAt <= aNow; });
  if (aAccount.tokens.empty()) {
    return this->shares.Take(aOrganisation, aMayUseReserve, aNow);
  }
  const Instant expiresAt = aAccount.tokens.front();
  aAccount.tokens.pop_front();
  return OperationToken{ aOrganisation, expiresAt, false };
}

void TokenLedger::ServeWaiting(const std::string& aOrganisation,
                               Account& aAccount,
                               bool aMayUseReserve,
                               Instant aNow)
{
  while (!aAccount.waiting.empty()) {
    auto token = this->TakeToken(aOrganisation, aAccount, aMayUseReserve, aNow);
    if (!token) {
      return;
    }
    const Ticket ticket = std::get<Ticket>(*aAccount.waiting.begin());
    this->RemoveWaiting(ticket);
    ++this->admitted;
    this->decisions.emplace_back(ticket, TokenDecision{ std::move(token), {} });
  }
}

TokenDecision TokenLedger::Refuse(const std::string& aOrganisation,
                                  Duration aRetryAfter,
                                  Instant aNow)
{
  ++this->refused;
  const auto [found, isFirst] = this->refusedAt.try_emplace(aOrganisation, aNow);
  if (isFirst || aNow - found->second > kRefusalQuietTime) {
    this->newlyRefused.push_back(aOrganisation);
  }
  found->second = aNow;
  return { std::nullopt, aRetryAfter };
}

std::optional<TokenRequest> TokenLedger::TakeRequest(Instant aNow)
{
  if (this->inFlight || aNow < this->requestFrom || this->waiting.empty()) {
    return std::nullopt;
  }
  TokenRequest request;
  for (const auto& [organisation, account] : this->accounts) {
    if (!account.waiting.empty() && aNow >= account.requestFrom) {
      request.demands.push_back(
        { organisation, static_cast<std::uint32_t>(account.waiting.size()) });
    }
  }
  if (request.demands.empty()) {
    return std::nullopt;
  }
  request.sequence = ++this->sequence;
  request.sentUs = ToMicroseconds(aNow);
  this->inFlight = request.sequence;
  this->openRequests.emplace(request.sequence, aNow);
  return request;
}

void TokenLedger::OnReply(const TokenReply& aReply, Instant aNow)
{
  const auto found = this->openRequests.find(aReply.sequence);
  if (found == this->openRequests.end()) {
    return;
  }
  const Instant expiresAt = found->second + kTokenValidity;
  this->openRequests.erase(found);
  if (this->inFlight == aReply.sequence) {
    this->inFlight.reset();
  }
  if (!aReply.accepted) {
    this->requestFrom = aNow + kDenialPause;
    this->OnLeaderMissing(aNow);
    return;
  }
  this->leaderMissingUntil = aNow;
  for (const TokenGrant& grant : aReply.grants) {
    this->OnGrant(grant, expiresAt, aNow);
  }
}

void TokenLedger::OnHeartbeatReply(std::uint64_t aTerm,
                                   const std::vector<QuotaShare>& aChanged,
                                   Instant aSentAt,
                                   Instant aNow)
{
  this->shares.OnHeartbeatReply(aTerm, aChanged, aSentAt, aNow);
}

void TokenLedger::OnLeaderMissing(Instant aNow)
{
  this->leaderMissingUntil = aNow + kLeaderMissingTime;
  for (auto& [organisation, account] : this->accounts) {
    this->ServeWaiting(organisation, account, true, aNow);
  }
}

void TokenLedger::OnGrant(const TokenGrant& aGrant, Instant aExpiresAt, Instant aNow)
{
  Account& account = this->accounts[aGrant.organisation];
  for (std::uint32_t token = 0; token < aGrant.tokens && aExpiresAt > aNow; ++token) {
    account.tokens.insert(std::ranges::upper_bound(account.tokens, aExpiresAt), aExpiresAt);
  }
  this->ServeWaiting(aGrant.organisation, account, aGrant.retryAfterMs > 0, aNow);
  if (aGrant.retryAfterMs > 0) {
    account.requestFrom = aNow + kDenialPause;
    account.retryAt = aNow + std::chrono::milliseconds(aGrant.retryAfterMs);
    this->OnDenial(aGrant.organisation, account, aNow);
  }
}

void TokenLedger::OnDenial(const std::string& aOrganisation, Account& aAccount, Instant aNow)
{
  const Instant tokenAt = std::max(aAccount.retryAt, aAccount.requestFrom);
  for (const Urgency& each : std::set(aAccount.waiting)) {
    if (std::get<Instant>(each) >= tokenAt) {
      continue;
    }
    const Ticket ticket = std::get<Ticket>(each);
    this->RemoveWaiting(ticket);
    this->decisions.emplace_back(ticket, this->Refuse(aOrganisation, tokenAt - aNow, aNow));
  }
}

void TokenLedger::OnTime(Instant aNow)
{
  std::erase_if(this->openRequests,
                [aNow](const auto& aEach) { return aNow - aEach.second >= kTokenValidity; });
  if (this->inFlight) {
    const auto sent = this->openRequests.find(*this->inFlight);
    const bool isSilent = sent == this->openRequests.end() || aNow - sent->second >= kLeaderSilence;
    if (isSilent && aNow >= this->leaderMissingUntil) {
      this->OnLeaderMissing(aNow);
    }
    if (sent == this->openRequests.end() || aNow - sent->second >= kTokenRequestTimeout) {
      this->inFlight.reset();
    }
  }
  while (!this->deadlines.empty() && this->deadlines.begin()->first <= aNow) {
    const Ticket ticket = this->deadlines.begin()->second;
    const std::string organisation = this->waiting.at(ticket).organisation;
    const Instant retryAt = this->accounts[organisation].retryAt;
    this->RemoveWaiting(ticket);
    this->decisions.emplace_back(
      ticket,
      this->Refuse(organisation, retryAt > aNow ? retryAt - aNow : kRetryAfterNoLeader, aNow));
  }
  this->PurgeAccounts(aNow);
}

void TokenLedger::PurgeAccounts(Instant aNow)
{
  std::erase_if(this->accounts, [aNow](const auto& aEach) {
    const Account& account = aEach.second;
    const bool holdsToken = !account.tokens.empty() && account.tokens.back() > aNow;
    return !holdsToken && account.waiting.empty() && account.requestFrom <= aNow &&
           account.retryAt <= aNow;
  });
  std::erase_if(this->refusedAt,
                [aNow](const auto& aEach) { return aNow - aEach.second > kRefusalQuietTime; });
}

std::optional<Instant> TokenLedger::NextTime() const
{
  if (this->deadlines.empty()) {
    return std::nullopt;
  }
  Instant next = this->deadlines.begin()->first;
  if (this->inFlight) {
    const auto sent = this->openRequests.find(*this->inFlight);
    if (sent == this->openRequests.end()) {
      return next;
    }
    next = std::min(next, sent->second + kTokenRequestTimeout);
    return this->leaderMissingUntil > sent->second ? next
                                                   : std::min(next, sent->second + kLeaderSilence);
  }
  for (const auto& [organisation, account] : this->accounts) {
    if (!account.waiting.empty()) {
      next = std::min(next, std::max(account.requestFrom, this->requestFrom));
    }
  }
  return next;
}

std::vector<std::pair<TokenLedger::Ticket, TokenDecision>> TokenLedger::TakeDecisions()
{
  return std::exchange(this->decisions, {});
}

std::vector<OperationCount> TokenLedger::TakeOperationCounts()
{
  std::vector<OperationCount> counts;
  for (const auto& [organisation, operations] : this->operationCounts) {
    counts.push_back({ organisation, operations });
  }
  this->operationCounts.clear();
  return counts;
}

std::vector<std::string> TokenLedger::TakeNewlyRefused()
{
  return std::exchange(this->newlyRefused, {});
}

} // namespace oleanderledge
