#include "oleanderledge/transport/HttpClients.hpp"

#include "oleanderledge/transport/HttpConnection.hpp"

#include <vector>

namespace oleanderledge {

namespace {

constexpr std::chrono::milliseconds kCheckInterval(100);

} // namespace

HttpClients::HttpClients(const HttpLimits& aLimits, std::shared_ptr<ResourceBudget> aBudget)
  : limits(aLimits)
  , budget(std::move(aBudget))
{
  QObject::connect(&this->checkTimer, &QTimer::timeout, this, &HttpClients::CheckTimes);
  this->checkTimer.start(kCheckInterval);
}

void HttpClients::Add(ResourceBudget::ClientId aId, HttpConnection* aConnection)
{
  this->connections[aId] = aConnection;
}

void HttpClients::Remove(ResourceBudget::ClientId aId)
{
  this->connections.erase(aId);
  this->budget->Remove(aId);
}

void HttpClients::CloseSelected()
{
  for (const ResourceBudget::Closing& closing : this->budget->TakeClosings(ClientPort::Http)) {
    const auto found = this->connections.find(closing.client);
    if (found != this->connections.end()) {
      found->second->Abort(closing.reason);
    }
  }
}

void HttpClients::CheckTimes()
{
  const Instant now = MonotonicNow();
  std::vector<HttpConnection*> present;
  present.reserve(this->connections.size());
  for (const auto& [id, connection] : this->connections) {
    present.push_back(connection);
  }
  // A connection that is aborted removes itself from the map, and is deleted later.
  for (HttpConnection* connection : present) {
    connection->CheckTime(now);
  }
  this->CloseSelected();
}

} // namespace oleanderledge
