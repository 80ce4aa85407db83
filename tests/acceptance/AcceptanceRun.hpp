#pragma once

#include "Checks.hpp"

#include "tests/standin/PgConnection.hpp"

#include <string>

namespace oleanderledge::acceptance {

using stand_in::PgConnection;
using stand_in::PgResult;
using stand_in::PgTarget;

/// Checks for any server of the protocol, both the stand-in itself and a proxy.
class AcceptanceRun
{
public:
  /// `aRunName` distinguishes the rows of this run from those of other runs in the same database.
  AcceptanceRun(Checks& aChecks, PgTarget aTarget, std::string aRunName);

  void RunAll();

private:
  void CheckStartup();
  void CheckValues();
  void CheckPreparedStatements();
  void CheckTransactions();
  void CheckErrorInTransaction();
  void CheckSeveralStatements();
  void CheckPipelining();
  void CheckErrorInPipeline();
  void CheckCancel();
  void CheckReadOnly();
  void CheckSettings();
  void CheckManyRows();
  void CheckInterleavedSessions();
  void CheckCopyRefused();

  PgConnection Connect(const std::string& aOptions = {}) const;
  std::string Insert(PgConnection& aConnection, const std::string& aItem) const;
  std::string CountOf(PgConnection& aConnection, const std::string& aItem) const;

  Checks& checks;
  PgTarget target;
  std::string runName;
};

} // namespace oleanderledge::acceptance
