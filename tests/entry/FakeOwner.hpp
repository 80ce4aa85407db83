#pragma once

#include "oleanderledge/entry/entry.hpp"
#include "oleanderledge/wire/wire.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace oleanderledge::test {

/// Owner role that answers each Query with the query text as the command tag and tracks the
/// transaction status per channel. Units that contain "hang" get no reply.
class FakeOwner : public OwnerService
{
public:
  explicit FakeOwner(ReplySink& aSink)
    : sink(aSink)
  {
  }

  void Submit(LinkId aLink, StatementRequest&& aRequest) override
  {
    this->requests.push_back(aRequest);
    if (aRequest.payload.find("hang") != std::string::npos) {
      return;
    }
    StatementReply reply;
    reply.channel = aRequest.channel;
    reply.sequence = aRequest.sequence;
    reply.finalPiece = true;
    reply.isWriteAcknowledgement = !aRequest.readOnly;
    reply.leaseLeftUs = this->leaseLeftUs;
    reply.pingEchoUs = this->pingUs[aLink];
    for (const MessageView& view : SplitMessages(aRequest.payload)) {
      reply.payload += this->Answer(view, aRequest);
    }
    reply.transactionStatus =
      this->status.contains(aRequest.channel) ? this->status[aRequest.channel] : 'I';
    this->sink.Deliver(aLink, std::move(reply));
  }

  void Cancel(LinkId aLink, const CancelStatement& aCancel) override
  {
    this->cancels.push_back(aCancel);
    StatementReply reply;
    reply.channel = aCancel.channel;
    reply.sequence = aCancel.sequence;
    reply.finalPiece = true;
    reply.payload = BuildErrorResponse("ERROR", "57014", "canceling statement due to user request");
    this->sink.Deliver(aLink, std::move(reply));
  }

  void CloseChannel(LinkId /*aLink*/, std::uint64_t aChannel) override
  {
    this->closedChannels.push_back(aChannel);
    this->status.erase(aChannel);
  }
  void CloseLink(LinkId aLink) override { this->closedLinks.push_back(aLink); }
  void RecordPing(LinkId aLink, const LinkPing& aPing) override
  {
    this->pingUs[aLink] = aPing.sentUs;
  }
  void ApplyDirectory(std::shared_ptr<const Directory> /*aDirectory*/) override {}
  void ApplyLeases(std::span<const LeaseGrant> /*aLeases*/, Instant /*aHeartbeatSent*/) override {}
  std::vector<OwnerReport> Reports(Instant /*aNow*/) override { return {}; }
  std::vector<ClassService> ServiceByClass() const override { return {}; }
  void BeginRelease() override {}
  bool IsIdle() const override { return true; }

  std::vector<StatementRequest> requests;
  std::vector<CancelStatement> cancels;
  std::vector<std::uint64_t> closedChannels;
  std::vector<LinkId> closedLinks;
  std::int64_t leaseLeftUs = 1'000'000;

private:
  std::string Answer(const MessageView& aView, const StatementRequest& aRequest)
  {
    switch (aView.type) {
      case 'P':
        return BuildEmptyMessage('1');
      case 'B':
        return BuildEmptyMessage('2');
      case 'E':
        return BuildCommandComplete("EXECUTE");
      case 'Q':
        break;
      default:
        return {};
    }
    const std::string sql(FieldReader(aView.body).ReadString());
    const StatementKind kind = RecognizeStatement(sql).kind;
    if (kind == StatementKind::Begin) {
      this->status[aRequest.channel] = 'T';
    } else if (kind == StatementKind::Commit || kind == StatementKind::Rollback) {
      this->status.erase(aRequest.channel);
    }
    return BuildCommandComplete(sql);
  }

  ReplySink& sink;
  std::map<LinkId, std::int64_t> pingUs;
  std::map<std::uint64_t, char> status;
};

} // namespace oleanderledge::test
