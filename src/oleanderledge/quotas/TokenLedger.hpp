#pragma once

#include "oleanderledge/link/link.hpp"
#include "oleanderledge/quotas/OperationToken.hpp"
#include "oleanderledge/quotas/QuotaTimings.hpp"
#include "oleanderledge/quotas/ShareLedger.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace oleanderledge {

/// Tokens of a proxy, and the operations that wait for them. Takes them from the standing shares of
/// the proxy and requests others from the control leader, one request at a time; operations that
/// arrive meanwhile are part of the next one. The burst of a standing share is a reserve for
/// denials and for times without a leader.
class TokenLedger
{
public:
  /// Number of an operation, chosen by the caller of Admit(); not reused.
  using Ticket = std::uint64_t;

  /// Decides on an operation, or lets it wait; TakeDecisions() tells the outcome then.
  std::optional<TokenDecision> Admit(Ticket aTicket, const OperationDemand& aDemand, Instant aNow);
  /// The operation does not wait any more. No effect if it was decided.
  void Cancel(Ticket aTicket);
  /// The operation of the token did not run.
  void Return(const OperationToken& aToken, Instant aNow);

  /// The request that is to be sent now, if any, without the identity of the proxy.
  std::optional<TokenRequest> TakeRequest(Instant aNow);
  void OnReply(const TokenReply& aReply, Instant aNow);
  /// Applies the standing shares of a reply by the leader of `aTerm` to a heartbeat of `aSentAt`.
  void OnHeartbeatReply(std::uint64_t aTerm,
                        const std::vector<QuotaShare>& aChanged,
                        Instant aSentAt,
                        Instant aNow);
  /// For heartbeats; see Heartbeat::quotaNumber.
  std::uint64_t QuotaNumber(Instant aNow) { return this->shares.Number(aNow); }
  /// Refuses operations whose deadline has passed and gives up a request without a reply. To be
  /// called at NextTime().
  void OnTime(Instant aNow);
  /// When OnTime() or TakeRequest() has something to do next.
  std::optional<Instant> NextTime() const;
  /// Decisions on operations that waited, since the last call.
  std::vector<std::pair<Ticket, TokenDecision>> TakeDecisions();

  /// Operations since the last call, by organisation, the refused ones included.
  std::vector<OperationCount> TakeOperationCounts();
  /// Organisations that had no operation refused for a while before the last call, and have now.
  std::vector<std::string> TakeNewlyRefused();

  std::uint64_t AdmittedCount() const { return this->admitted; }
  std::uint64_t RefusedCount() const { return this->refused; }
  std::size_t WaitingCount() const { return this->waiting.size(); }

private:
  /// Orders the operations of an organisation: the most urgent first.
  using Urgency = std::tuple<std::uint32_t, Instant, Ticket>;
  struct Account
  {
    std::deque<Instant> tokens; ///< Expiry of each token in hand.
    std::set<Urgency> waiting;
    Instant requestFrom{}; ///< No request before this time: the last one was denied.
    Instant retryAt{};     ///< When the leader expects to have a token, after a denial.
  };

  std::optional<OperationToken> TakeToken(const std::string& aOrganisation,
                                          Account& aAccount,
                                          bool aMayUseReserve,
                                          Instant aNow);
  /// Gives tokens in hand to operations that wait.
  void ServeWaiting(const std::string& aOrganisation,
                    Account& aAccount,
                    bool aMayUseReserve,
                    Instant aNow);
  /// The leader does not answer: operations that wait use the reserves.
  void OnLeaderMissing(Instant aNow);
  void OnGrant(const TokenGrant& aGrant, Instant aExpiresAt, Instant aNow);
  void OnDenial(const std::string& aOrganisation, Account& aAccount, Instant aNow);
  /// Removes an operation from those that wait.
  void RemoveWaiting(Ticket aTicket);
  TokenDecision Refuse(const std::string& aOrganisation, Duration aRetryAfter, Instant aNow);
  /// Discards accounts that hold nothing.
  void PurgeAccounts(Instant aNow);

  std::map<std::string, Account, std::less<>> accounts; ///< Organisations with recent operations.
  std::map<Ticket, OperationDemand> waiting;
  std::set<std::pair<Instant, Ticket>> deadlines; ///< Of the operations that wait.
  /// Send times of requests whose reply may still bring usable tokens, by sequence number.
  std::map<std::uint64_t, Instant> openRequests;
  std::optional<std::uint64_t> inFlight; ///< The request whose reply is awaited.
  std::uint64_t sequence = 0;
  Instant requestFrom{};        ///< No request before this time: there was no leader.
  Instant leaderMissingUntil{}; ///< Until then the reserves are used at once.
  ShareLedger shares;
  std::vector<std::pair<Ticket, TokenDecision>> decisions;
  std::map<std::string, std::uint32_t, std::less<>> operationCounts;
  std::map<std::string, Instant, std::less<>> refusedAt; ///< Last refusal by organisation.
  std::vector<std::string> newlyRefused;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
};

} // namespace oleanderledge
