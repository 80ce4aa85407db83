#include "oleanderledge/limits/ResourceBudget.hpp"

namespace oleanderledge {

std::string_view ToString(ClosingReason aReason)
{
  switch (aReason) {
    case ClosingReason::Connections:
      return "connections";
    case ClosingReason::AddressConnections:
      return "address_connections";
    case ClosingReason::TotalBytes:
      return "total_bytes";
    case ClosingReason::ClientBytes:
      return "client_bytes";
    case ClosingReason::MessageTooLarge:
      return "message_too_large";
    case ClosingReason::MalformedMessage:
      return "malformed_message";
    case ClosingReason::StartUpTime:
      return "start_up_time";
    case ClosingReason::MessageTime:
      return "message_time";
    case ClosingReason::ResponseTime:
      break;
  }
  return "response_time";
}

std::string_view ToString(ClientPort aPort)
{
  switch (aPort) {
    case ClientPort::Callers:
      return "callers";
    case ClientPort::Links:
      return "links";
    case ClientPort::Http:
      break;
  }
  return "http";
}

ResourceBudget::ResourceBudget(const BudgetLimits& aLimits)
  : limits(aLimits)
{
}

ResourceBudget::Admission ResourceBudget::Admit(ClientPort aPort, std::string_view aSourceAddress)
{
  const std::lock_guard lock(this->mutex);
  const auto sameAddress = this->countByAddress.find(aSourceAddress);
  if (sameAddress != this->countByAddress.end() &&
      sameAddress->second >= this->limits.connectionsPerAddress) {
    return { 0, ClosingReason::AddressConnections };
  }
  // `byBytes` contains all clients that are not marked.
  if (this->byBytes.size() >= this->limits.connections) {
    if (this->notStarted.empty()) {
      return { 0, ClosingReason::Connections };
    }
    const ClientId oldest = *this->notStarted.begin();
    this->Mark(oldest, this->clients.at(oldest), ClosingReason::Connections);
  }
  const ClientId id = ++this->lastId;
  Client& added = this->clients[id];
  added.port = aPort;
  added.address = aSourceAddress;
  this->byBytes.emplace(0, id);
  this->notStarted.insert(id);
  ++this->countByAddress[added.address];
  return { id, std::nullopt };
}

void ResourceBudget::Remove(ClientId aClient)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->clients.find(aClient);
  if (found == this->clients.end()) {
    return;
  }
  if (!found->second.isMarked) {
    this->RemoveFromTotals(aClient, found->second);
  }
  std::erase_if(this->marked[found->second.port],
                [aClient](const Closing& aEach) { return aEach.client == aClient; });
  this->clients.erase(found);
}

void ResourceBudget::RemoveFromTotals(ClientId aId, const Client& aClient)
{
  this->totalBytes -= aClient.bytes;
  this->totalStatements -= aClient.statements;
  this->byBytes.erase({ aClient.bytes, aId });
  this->notStarted.erase(aId);
  const auto sameAddress = this->countByAddress.find(aClient.address);
  if (--sameAddress->second == 0) {
    this->countByAddress.erase(sameAddress);
  }
}

void ResourceBudget::Mark(ClientId aId, Client& aClient, ClosingReason aReason)
{
  this->RemoveFromTotals(aId, aClient);
  aClient.isMarked = true;
  this->marked[aClient.port].push_back({ aId, aReason });
}

void ResourceBudget::MarkStarted(ClientId aClient)
{
  const std::lock_guard lock(this->mutex);
  this->notStarted.erase(aClient);
}

void ResourceBudget::SetHeld(ClientId aClient, std::uint64_t aBytes, std::uint32_t aStatements)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->clients.find(aClient);
  if (found == this->clients.end() || found->second.isMarked) {
    return;
  }
  Client& client = found->second;
  if (client.bytes != aBytes) {
    this->byBytes.erase({ client.bytes, aClient });
    this->byBytes.emplace(aBytes, aClient);
    this->totalBytes = this->totalBytes - client.bytes + aBytes;
    client.bytes = aBytes;
  }
  this->totalStatements = this->totalStatements - client.statements + aStatements;
  client.statements = aStatements;
}

std::vector<ResourceBudget::Closing> ResourceBudget::TakeClosings(ClientPort aPort)
{
  const std::lock_guard lock(this->mutex);
  while (this->totalBytes > this->limits.bytes && !this->byBytes.empty()) {
    const auto [bytes, id] = *this->byBytes.rbegin();
    if (bytes < this->limits.sparedBytes) {
      break;
    }
    this->Mark(id, this->clients.at(id), ClosingReason::TotalBytes);
  }
  return std::exchange(this->marked[aPort], {});
}

bool ResourceBudget::AllowsStatement() const
{
  const std::lock_guard lock(this->mutex);
  return this->totalStatements < this->limits.statements;
}

void ResourceBudget::RecordClosing(ClientPort aPort,
                                   ClosingReason aReason,
                                   std::string_view aSourceAddress,
                                   std::uint64_t aBytes)
{
  {
    const std::lock_guard lock(this->mutex);
    ++this->closingCounts[aReason];
  }
  WriteLog(LogEvent::ClientClosed,
           "port=" + std::string(ToString(aPort)) + " reason=" + std::string(ToString(aReason)) +
             " address=" + std::string(aSourceAddress) + " bytes=" + std::to_string(aBytes));
}

std::uint64_t ResourceBudget::HeldBytes() const
{
  const std::lock_guard lock(this->mutex);
  return this->totalBytes;
}

std::uint64_t ResourceBudget::HeldStatements() const
{
  const std::lock_guard lock(this->mutex);
  return this->totalStatements;
}

std::uint64_t ResourceBudget::ConnectionCount() const
{
  const std::lock_guard lock(this->mutex);
  return this->byBytes.size();
}

std::map<ClosingReason, std::uint64_t> ResourceBudget::ClosingCounts() const
{
  const std::lock_guard lock(this->mutex);
  return this->closingCounts;
}

} // namespace oleanderledge
