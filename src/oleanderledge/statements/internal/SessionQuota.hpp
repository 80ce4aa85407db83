#pragma once

#include "oleanderledge/link/link.hpp"
#include "oleanderledge/statements/OperationAdmission.hpp"

#include <optional>
#include <string>

namespace oleanderledge {

/// Admission of the present operation of one session by the limit of its organisation.
class SessionQuota
{
public:
  /// Receives whether the operation is admitted, and the reason if it is not.
  using Done = std::function<void(bool aIsAdmitted, const std::string& aReason)>;

  /// `aAdmission` may be null: nothing is limited.
  explicit SessionQuota(OperationAdmission* aAdmission)
    : admission(aAdmission)
  {
  }
  ~SessionQuota() { this->End(); }
  SessionQuota(const SessionQuota&) = delete;
  SessionQuota& operator=(const SessionQuota&) = delete;

  /// Starts an operation. Calls back at once if the organisation has no limit, and not at all if
  /// the operation ends first.
  void Begin(const OrganisationRow* aOrganisation,
             const RouteRow& aRoute,
             Instant aArrivedAt,
             Done aDone);
  /// The operation is about to reach a backend server, so its token is used.
  void MarkSent() { this->token.reset(); }
  /// The operation has ended: cancels the wait for its token, or returns a token that was not used.
  void End();

private:
  OperationAdmission* admission;
  std::optional<OperationAdmission::Ticket> ticket; ///< Of an operation that waits.
  std::optional<OperationToken> token;              ///< Of an operation that was not sent yet.
};

} // namespace oleanderledge
