#pragma once

#include "oleanderledge/base/base.hpp"
#include "soak/ViolationLog.hpp"
#include "standin/platform/PlatformDatabase.hpp"

#include <QTcpSocket>
#include <QTimer>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace oleanderledge::soak {

/// Totals of the operations of a caller.
struct OperationTotals
{
  std::uint64_t succeeded = 0;
  std::uint64_t refused = 0;   ///< Answered with a promise that nothing is kept.
  std::uint64_t uncertain = 0; ///< Without an answer, or with an unknown outcome.
};

/// One caller that reads and writes its own item, alone and in transactions, and checks what it is
/// promised. It keeps a session until the connection ends, and then uses any proxy.
class CallerLoad : public QObject
{
  Q_OBJECT

public:
  CallerLoad(std::size_t aNumber,
             std::vector<std::string> aProxies,
             const standin::PlatformGroup& aGroup,
             std::uint32_t aSeed,
             ViolationLog& aViolations);

  void Stop();
  const OperationTotals& Totals() const { return this->totals; }
  /// When the last operation that wrote succeeded.
  Instant LastWriteAt() const { return this->lastWriteAt; }
  /// Checks that no statement of this caller has taken effect twice.
  void CheckRunsOnce();
  /// Number of the proxy that a statement id of any caller was sent to.
  static std::size_t ProxyOf(const std::string& aId);

private:
  void Connect();
  void HandleClosed();
  void ReadAvailable();
  void StartOperation();
  void SendNext();
  void HandleAnswer(const std::string& aAnswer);
  void HandleError(const std::string& aCode);
  void CheckRead(const std::string& aRow);
  void FinishOperation();
  void Schedule(void (CallerLoad::*aStep)(), int aLongestMs);
  int Draw(int aLimit) { return std::uniform_int_distribution<int>(0, aLimit - 1)(this->random); }
  std::string ValueOf(std::uint64_t aNumber) const;

  std::size_t number;
  std::vector<std::string> proxies;
  const standin::PlatformGroup& group;
  std::mt19937 random;
  ViolationLog& violations;
  std::string item;
  QTcpSocket socket;
  QTimer answerTimer;
  std::size_t proxy = 0;
  std::string buffer;
  std::vector<std::string> operation; ///< Texts of the statements.
  std::size_t position = 0;           ///< Of the statement that runs, or runs next.
  std::uint64_t session = 0;          ///< Incremented with each lost connection.
  bool isStarted = false;
  bool isAwaiting = false;
  bool isStopped = false;
  std::uint64_t statementCount = 0;
  std::uint64_t attempted = 0;      ///< Number of the newest value that was sent.
  std::uint64_t acknowledged = 0;   ///< Number of the newest value that was acknowledged.
  std::vector<std::string> effects; ///< Ids of single writes and commits.
  std::string currentId;
  OperationTotals totals;
  Instant lastWriteAt{};
};

} // namespace oleanderledge::soak
