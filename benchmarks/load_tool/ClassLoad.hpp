#pragma once

#include "ClassSettings.hpp"
#include "LoadConnection.hpp"
#include "PhaseCounters.hpp"

#include "oleanderledge/base/base.hpp"

#include <QObject>

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace oleanderledge::load {

enum class Phase : std::uint8_t
{
  Before = 0, ///< The whole run if there is no flood.
  Flood = 1,
  After = 2,
};

/// Settings shared by all classes of a run.
struct RunSettings
{
  std::vector<ConnectionTarget> targets; ///< Connections are assigned round-robin.
  std::string readSql;                   ///< "{n}" is replaced by a number unique in the run.
  std::string writeSql;
  Instant start{}; ///< End of the warm-up.
  Duration length{ 0 };
  std::optional<FloodSettings> flood;
  std::uint64_t seed = 1;
};

/// Open-loop load of one class: sends requests at the given rate, independent of the responses to
/// earlier ones.
class ClassLoad : public QObject
{
  Q_OBJECT

public:
  /// `aRun` must outlive this object.
  ClassLoad(const RunSettings& aRun, ClassSettings aSettings, QObject* aParent);

  /// Sends the requests that are due. Must be called at short intervals.
  void Advance(Instant aNow);

  /// True while a request waits for a connection or an answer.
  bool HasOpenRequests() const { return this->openRequests > 0; }

  /// Ends the run: counts measured requests without a response as refused in the last phase and
  /// sends no further ones.
  void EndOpenRequests();

  const PhaseCounters& CountersOf(Phase aPhase) const
  {
    return this->phases[static_cast<std::size_t>(aPhase)];
  }

  void Print() const;

private:
  struct Request
  {
    Instant intendedTime;
    bool measured = false;
    Phase phase = Phase::Before;
  };

  /// Idle connections for reads or for writes, and the requests that wait for one of them.
  struct Pool
  {
    std::vector<LoadConnection*> idle;
    std::deque<Request> waiting;
  };

  void OpenConnections(Pool& aPool, bool aReadOnly);
  Request MakeRequest(Instant aIntendedTime) const;
  double RateAt(Instant aTime) const;
  void RefuseExpired(Pool& aPool, Instant aNow);
  void SendWaiting(Pool& aPool);
  void Complete(const Request& aRequest, const std::string& aSqlstate);
  std::string NextSql(bool aRead);

  const RunSettings& run;
  ClassSettings settings;
  Pool reads;
  Pool writes;
  std::array<PhaseCounters, 3> phases;
  std::mt19937_64 random;
  Instant nextArrival{};
  std::uint64_t openRequests = 0;
  std::uint64_t openMeasuredRequests = 0;
  std::uint64_t nextNumber = 0;
  bool ended = false;
};

} // namespace oleanderledge::load
