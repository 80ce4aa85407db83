#pragma once

#include "AcceptanceRun.hpp"

namespace oleanderledge::acceptance {

/// Checks for features that only a proxy has: request ids, named sessions and rejected settings.
class ProxyAcceptanceRun
{
public:
  /// `aSecond` is another proxy of the same fleet, or the same one again. The table that
  /// AcceptanceRun creates must exist.
  ProxyAcceptanceRun(Checks& aChecks, PgTarget aFirst, PgTarget aSecond, std::string aRunName);

  void RunAll();

private:
  void CheckRequestId();
  void CheckRequestIdInTransaction();
  void CheckReadYourWrites();
  void CheckUnknownClass();

  std::string CountOf(const std::string& aItem);

  Checks& checks;
  PgTarget first;
  PgTarget second;
  std::string runName;
};

} // namespace oleanderledge::acceptance
