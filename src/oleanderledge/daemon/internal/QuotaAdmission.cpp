#include "oleanderledge/daemon/internal/QuotaAdmission.hpp"

#include <algorithm>

namespace oleanderledge {

QuotaAdmission::QuotaAdmission(QObject* aParent)
  : QObject(aParent)
{
  this->timer.setSingleShot(true);
  this->timer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->timer, &QTimer::timeout, this, &QuotaAdmission::OnTimer);
}

void QuotaAdmission::Admit(Ticket aTicket, const OperationDemand& aDemand, Callback aCallback)
{
  const auto decision = this->ledger.Admit(aTicket, aDemand, MonotonicNow());
  if (decision) {
    aCallback(*decision);
  } else {
    this->callbacks.emplace(aTicket, std::move(aCallback));
  }
  this->Continue();
}

void QuotaAdmission::Cancel(Ticket aTicket)
{
  this->callbacks.erase(aTicket);
  this->ledger.Cancel(aTicket);
}

void QuotaAdmission::Return(const OperationToken& aToken)
{
  this->ledger.Return(aToken, MonotonicNow());
  this->Continue();
}

void QuotaAdmission::HandleReply(const TokenReply& aReply)
{
  this->ledger.OnReply(aReply, MonotonicNow());
  this->Continue();
}

void QuotaAdmission::OnTimer()
{
  this->ledger.OnTime(MonotonicNow());
  this->Continue();
}

void QuotaAdmission::Continue()
{
  for (const auto& [ticket, decision] : this->ledger.TakeDecisions()) {
    const auto callback = this->callbacks.extract(ticket);
    if (callback) {
      callback.mapped()(decision);
    } else if (decision.token) {
      // Cancelled by the callback of an earlier decision.
      this->ledger.Return(*decision.token, MonotonicNow());
    }
  }
  for (const std::string& organisation : this->ledger.TakeNewlyRefused()) {
    WriteLog(LogEvent::OrganisationRefused, "organisation=" + organisation);
  }
  const Instant now = MonotonicNow();
  if (const auto request = this->ledger.TakeRequest(now)) {
    Q_EMIT this->TokensRequested(*request);
  }
  const auto next = this->ledger.NextTime();
  if (!next) {
    this->timer.stop();
    return;
  }
  this->timer.start(
    std::chrono::ceil<std::chrono::milliseconds>(std::max(*next - now, Duration{ 0 })));
}

} // namespace oleanderledge
