#pragma once

#include "oleanderledge/statements/OperationAdmission.hpp"

#include <QObject>
#include <QTimer>

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
