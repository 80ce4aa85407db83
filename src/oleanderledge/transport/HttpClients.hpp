#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/limits/limits.hpp"
#include "oleanderledge/transport/HttpLimits.hpp"

#include <QObject>
#include <QTimer>

#include <map>
#include <memory>

namespace oleanderledge {

class HttpConnection;

/// The clients of all HTTP servers of a process, which share its ResourceBudget. Closes those that
/// exceed a limit. Lives in the thread of the servers.
class HttpClients : public QObject
{
  Q_OBJECT

public:
  HttpClients(const HttpLimits& aLimits, std::shared_ptr<ResourceBudget> aBudget);

  const HttpLimits& Limits() const { return this->limits; }
  ResourceBudget& Budget() { return *this->budget; }

  /// Adds a connection that Admit() of the budget has accepted.
  void Add(ResourceBudget::ClientId aId, HttpConnection* aConnection);
  void Remove(ResourceBudget::ClientId aId);

  /// Closes the clients that the budget has selected. Those may include any connection.
  void CloseSelected();

private:
  void CheckTimes();

  HttpLimits limits;
  std::shared_ptr<ResourceBudget> budget;
  std::map<ResourceBudget::ClientId, HttpConnection*> connections;
  QTimer checkTimer;
};

} // namespace oleanderledge
