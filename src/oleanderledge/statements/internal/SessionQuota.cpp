#include "oleanderledge/statements/internal/SessionQuota.hpp"

#include <utility>

namespace oleanderledge {

namespace {

/// An operation waits for its token for at most the target latency of its route divided by this. It
/// may have to wait for a connection after that.
constexpr int kTargetWaitDivisor = 4;

} // namespace

void SessionQuota::Begin(const OrganisationRow* aOrganisation,
                         const RouteRow& aRoute,
                         Instant aArrivedAt,
                         Done aDone)
{
  this->End();
  if (this->admission == nullptr || aOrganisation == nullptr || !aOrganisation->rate.isLimited) {
    aDone(true, {});
    return;
  }
  const Duration wait = std::chrono::milliseconds(aRoute.targetLatencyMs) / kTargetWaitDivisor;
  const OperationDemand demand{ aOrganisation->name, aRoute.priority, aArrivedAt + wait };
  this->ticket = this->admission->NewTicket();
  this->admission->Admit(
    *this->ticket, demand, [this, done = std::move(aDone)](const TokenDecision& aDecision) {
      this->ticket.reset();
      this->token = aDecision.token;
      const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(aDecision.retryAfter);
      done(aDecision.token.has_value(),
           aDecision.token ? std::string{}
                           : "the organisation is at its limit; retry_after_ms=" +
                               std::to_string(retryAfter.count()));
    });
}

void SessionQuota::End()
{
  if (const auto waiting = std::exchange(this->ticket, std::nullopt)) {
    this->admission->Cancel(*waiting);
  }
  if (const auto unused = std::exchange(this->token, std::nullopt)) {
    this->admission->Return(*unused);
  }
}

} // namespace oleanderledge
