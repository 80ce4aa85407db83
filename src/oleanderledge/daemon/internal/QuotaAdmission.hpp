#pragma once

#include "oleanderledge/quotas/quotas.hpp"
#include "oleanderledge/statements/OperationAdmission.hpp"

#include <QObject>
#include <QTimer>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleanderledge {

/// Admits operations by tokens of the control leader. Lives in the traffic thread.
class QuotaAdmission
  : public QObject
  , public OperationAdmission
{
  Q_OBJECT

public:
  explicit QuotaAdmission(QObject* aParent);

  // OperationAdmission
  Ticket NewTicket() override { return ++this->lastTicket; }
  void Admit(Ticket aTicket, const OperationDemand& aDemand, Callback aCallback) override;
  void Cancel(Ticket aTicket) override;
  void Return(const OperationToken& aToken) override;

  void HandleReply(const TokenReply& aReply);
  /// Applies the standing shares of a reply by the leader of `aTerm` to a heartbeat of `aSentAt`.
  void HandleShares(std::uint64_t aTerm, const std::vector<QuotaShare>& aChanged, Instant aSentAt)
  {
    this->ledger.OnHeartbeatReply(aTerm, aChanged, aSentAt, MonotonicNow());
  }
  /// For the next heartbeat.
  std::vector<OperationCount> TakeOperationCounts() { return this->ledger.TakeOperationCounts(); }
  std::uint64_t QuotaNumber() { return this->ledger.QuotaNumber(MonotonicNow()); }
  const TokenLedger& Ledger() const { return this->ledger; }

Q_SIGNALS:
  /// A request is to be sent to the control leader at once.
  void TokensRequested(const oleanderledge::TokenRequest& aRequest);

private:
  void OnTimer();
  /// Delivers decisions, sends a request if one is due, and sets the timer.
  void Continue();

  TokenLedger ledger;
  std::map<Ticket, Callback> callbacks; ///< Of operations that wait.
  Ticket lastTicket = 0;
  QTimer timer;
};

} // namespace oleanderledge
