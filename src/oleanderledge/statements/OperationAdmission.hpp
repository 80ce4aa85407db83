#pragma once

#include "oleanderledge/quotas/OperationToken.hpp"

#include <cstdint>
#include <functional>

namespace oleanderledge {

/// Admits the operations of organisations with a limited rate: single statements and transactions.
/// Used only from the thread of the sessions.
class OperationAdmission
{
public:
  /// Number of a request, to cancel it.
  using Ticket = std::uint64_t;
  using Callback = std::function<void(const TokenDecision&)>;

  virtual ~OperationAdmission() = default;

  virtual Ticket NewTicket() = 0;
  /// Calls back exactly once, possibly before it returns, unless the request is cancelled.
  virtual void Admit(Ticket aTicket, const OperationDemand& aDemand, Callback aCallback) = 0;
  /// Prevents the callback. No effect after it.
  virtual void Cancel(Ticket aTicket) = 0;
  /// An admitted operation ended before anything of it was sent to a backend server.
  virtual void Return(const OperationToken& aToken) = 0;
};

} // namespace oleanderledge
