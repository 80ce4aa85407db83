#pragma once

#include "oleanderledge/owner/internal/DatabaseOwner.hpp"
#include "tests/owner/FakeGroup.hpp"

#include <memory>
#include <string>
#include <vector>

namespace oleanderledge {

/// Runs one DatabaseOwner against a FakeGroup in simulated time.
class OwnerHarness
{
public:
  FakeGroup group;
  ServiceCounters counters;
  DatabaseOwner owner;
  DatabaseRow row;
  Instant now{ std::chrono::seconds(1000) };
  std::vector<StatementReply> replies;
  std::vector<ConnectionId> opening;
  std::vector<ConnectionId> cancels;

  OwnerHarness()
    : owner("r/a", std::make_unique<DeadlineScheduler>(), this->counters)
  {
    const std::array<ClassTarget, 1> classes{ { { "bookings", std::chrono::milliseconds(1000) } } };
    this->owner.ApplyClasses(classes);
    this->row.name = "orders";
    this->row.connectionLimit = 12;
    for (const std::string name : { "p", "q", "r" }) {
      this->row.slots.push_back({ name, "r/a", "127.0.0.1:1", false, false });
      this->group.slots[name] = {};
    }
    this->group.slots["p"].isPrimary = true;
    this->row.term = 1;
    this->row.primary = "p";
    this->row.inSync = { "p", "q" };
    this->row.ownerEpoch = 1;
    this->row.version = 1;
  }

  /// Makes the owner ready to serve: applies row, lease and statuses, and opens connections.
  void Start()
  {
    this->ApplyRow();
    this->GrantLease();
    this->AnswerStatuses();
    this->Settle();
  }

  void ApplyRow()
  {
    ++this->row.version;
    this->owner.ApplyRow(this->row, this->now);
    this->CollectActions();
  }

  void GrantLease(std::int64_t aLengthUs = 1'000'000)
  {
    const LeaseGrant grant{ this->row.name, this->row.ownerEpoch, this->row.term, aLengthUs };
    this->owner.ApplyLease(grant, this->now, this->now);
    this->CollectActions();
  }

  void AnswerStatus(const std::string& aSlot)
  {
    this->owner.SlotStatusReceived(this->group.StatusOf(aSlot, this->now), this->now);
    this->CollectActions();
  }

  void AnswerStatuses()
  {
    for (const auto& [name, slot] : this->group.slots) {
      this->AnswerStatus(name);
    }
  }

  void ReplicateAll()
  {
    for (const auto& [name, slot] : this->group.slots) {
      this->group.Replicate(name, this->group.log.size(), this->group.log.size());
    }
    this->AnswerStatuses();
  }

  void Advance(std::int64_t aMs)
  {
    this->now += std::chrono::milliseconds(aMs);
    this->owner.Tick(this->now);
    this->CollectActions();
  }

  void Submit(StatementRequest aRequest, LinkId aLink = 1)
  {
    aRequest.database = this->row.name;
    aRequest.ownerEpoch = this->row.ownerEpoch;
    this->owner.Submit(aLink, std::move(aRequest), this->now);
    this->CollectActions();
  }

  static StatementRequest Request(std::uint64_t aChannel,
                                  std::uint64_t aSequence,
                                  const std::string& aSql)
  {
    StatementRequest request;
    request.channel = aChannel;
    request.sequence = aSequence;
    request.workClass = "bookings";
    request.caller = "shop";
    request.payload = BuildQuery(aSql);
    request.readOnly = aSql.starts_with("READ");
    return request;
  }

  /// Executes the owner's actions on the group; collects openings, cancellations and replies.
  void CollectActions()
  {
    for (OwnerAction& action : this->owner.TakeActions()) {
      if (auto* open = std::get_if<OpenConnection>(&action)) {
        this->group.Open(open->connection, open->slot);
        this->opening.push_back(open->connection);
      } else if (auto* send = std::get_if<SendToBackend>(&action)) {
        this->group.Receive(send->connection, send->bytes);
      } else if (auto* close = std::get_if<CloseConnection>(&action)) {
        this->group.connections.erase(close->connection);
      } else if (auto* cancel = std::get_if<CancelOnBackend>(&action)) {
        this->cancels.push_back(cancel->connection);
      } else if (auto* reply = std::get_if<SendReply>(&action)) {
        this->replies.push_back(std::move(reply->reply));
      }
    }
  }

  bool OpenNext()
  {
    if (this->opening.empty()) {
      return false;
    }
    const ConnectionId id = this->opening.front();
    this->opening.erase(this->opening.begin());
    this->owner.ConnectionOpened(id, this->now);
    this->CollectActions();
    return true;
  }

  bool ExecuteNext(ConnectionId aId)
  {
    const auto found = this->group.connections.find(aId);
    if (found == this->group.connections.end() || found->second.inbox.empty()) {
      return false;
    }
    this->group.ExecuteNext(aId);
    return true;
  }

  bool DeliverNext(ConnectionId aId)
  {
    const auto found = this->group.connections.find(aId);
    if (found == this->group.connections.end() || found->second.outbox.empty()) {
      return false;
    }
    const std::string message = found->second.outbox.front();
    found->second.outbox.pop_front();
    this->owner.BackendMessage(aId, SplitMessages(message).front(), this->now);
    this->CollectActions();
    return true;
  }

  std::vector<ConnectionId> Connections() const
  {
    std::vector<ConnectionId> ids;
    for (const auto& [id, connection] : this->group.connections) {
      ids.push_back(id);
    }
    return ids;
  }

  /// Opens all connections and executes and delivers all messages that wait, without replication
  /// and without advancing the time.
  void Settle()
  {
    for (bool progress = true; progress;) {
      progress = this->OpenNext();
      for (const ConnectionId id : this->Connections()) {
        progress = this->ExecuteNext(id) || progress;
        progress = this->DeliverNext(id) || progress;
      }
    }
  }

  /// The final reply to a unit, or null.
  const StatementReply* FinalReply(std::uint64_t aChannel, std::uint64_t aSequence) const
  {
    for (const StatementReply& reply : this->replies) {
      if (reply.channel == aChannel && reply.sequence == aSequence && reply.finalPiece) {
        return &reply;
      }
    }
    return nullptr;
  }
};

} // namespace oleanderledge
