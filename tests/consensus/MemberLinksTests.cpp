#include "oleanderledge/consensus/internal/MemberLinks.hpp"

#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <memory>
#include <vector>

#include <unistd.h>

using namespace oleanderledge;

namespace {

constexpr int kWaitTimeoutMs = 5000;
/// The reply timeout of MemberLinks with some room for the interval of the refreshes.
constexpr Duration kReconnectLimit = std::chrono::milliseconds(2500);
constexpr Duration kRefreshInterval = std::chrono::milliseconds(100);

InstanceInfo Control(const std::string& aId)
{
  InstanceInfo info;
  info.id = aId;
  info.role = InstanceRole::Control;
  info.zone = "dalarna/mora-1";
  return info;
}

/// Listens on a free address, which it puts into `aInfo`.
std::unique_ptr<LinkServer> Listen(InstanceInfo& aInfo)
{
  QTcpServer probe;
  REQUIRE(probe.listen(QHostAddress::LocalHost, 0));
  aInfo.linkAddress = "127.0.0.1:" + std::to_string(probe.serverPort());
  probe.close();
  auto server = std::make_unique<LinkServer>(aInfo, EmulatedLatency{}, nullptr);
  REQUIRE(server->Listen(aInfo.linkAddress));
  return server;
}

template<class Condition>
bool WaitFor(Condition aCondition)
{
  QElapsedTimer timer;
  timer.start();
  while (!aCondition()) {
    if (timer.elapsed() > kWaitTimeoutMs) {
      return false;
    }
    QEventLoop loop;
    QTimer::singleShot(5, &loop, &QEventLoop::quit);
    loop.exec();
  }
  return true;
}

/// Links of one instance to a peer that accepts links and never answers on them.
class SilentPeerFixture
{
public:
  SilentPeerFixture()
  {
    if (QCoreApplication::instance() == nullptr) {
      this->application = std::make_unique<QCoreApplication>(this->argumentCount, nullptr);
    }
    this->ownServer = Listen(this->self);
    this->peerServer = Listen(this->peer);
    this->links = std::make_unique<MemberLinks>(this->self, EmulatedLatency{}, nullptr);
    QObject::connect(this->ownServer.get(),
                     &LinkServer::Accepted,
                     this->links.get(),
                     [this](LinkConnection* aLink) {
                       this->links->AddAcceptedLink(aLink);
                       this->accepted.push_back(aLink);
                     });
    QObject::connect(this->peerServer.get(),
                     &LinkServer::Accepted,
                     this->links.get(),
                     [this](LinkConnection* aLink) {
                       ++this->opened;
                       this->peerSide = aLink;
                     });
    this->addresses = { this->peer.linkAddress };
    this->links->RefreshLinks(this->addresses, this->now);
    REQUIRE(WaitFor([this] { return this->opened == 1 && this->Sends(LeaveRequest{ "m0" }); }));
  }

  bool Sends(const Message& aMessage) { return this->links->Send(this->peer.id, aMessage); }

  /// Calls `aSend` and RefreshLinks() at regular intervals. Returns true if a new link to the peer
  /// is opened in time.
  template<class SendMessage>
  bool Reconnects(SendMessage aSend)
  {
    const int before = this->opened;
    this->now = MonotonicNow();
    const Instant end = this->now + kReconnectLimit;
    while (this->opened == before && this->now < end) {
      aSend();
      this->now += kRefreshInterval;
      this->links->RefreshLinks(this->addresses, this->now);
      WaitFor([turns = 0]() mutable { return ++turns > 3; });
    }
    return WaitFor([this, before] { return this->opened > before; });
  }

  int argumentCount = 0;
  std::unique_ptr<QCoreApplication> application; ///< Unless another test has created one.
  InstanceInfo self = Control("control-0");
  InstanceInfo peer = Control("control-1");
  Instant now = MonotonicNow();
  std::vector<std::string> addresses;
  int opened = 0;                     ///< Links that the peer has accepted.
  LinkConnection* peerSide = nullptr; ///< The newest link that the peer has accepted.
  std::vector<LinkConnection*> accepted;
  std::unique_ptr<LinkServer> ownServer;
  std::unique_ptr<LinkServer> peerServer;
  std::unique_ptr<MemberLinks> links;
};

} // namespace

TEST_CASE_METHOD(SilentPeerFixture, "A silent link is replaced after the reply timeout")
{
  CHECK(this->Reconnects([this] { this->Sends(VoteRequest{ 1, "m0", 0, 0, true }); }));
}

// Guards against one reply timeout for each of several links to the same instance: instances that
// start together open links to each other, and a loss of power leaves links that are not closed.
TEST_CASE_METHOD(SilentPeerFixture,
                 "Two silent links to one instance are replaced after one timeout")
{
  LinkConnection second(this->peer, this->self.linkAddress, EmulatedLatency{}, nullptr);
  REQUIRE(WaitFor([this, &second] {
    return second.IsReady() && this->accepted.size() == 1 && this->accepted[0]->IsReady();
  }));
  CHECK(this->Reconnects([this] { this->Sends(VoteRequest{ 1, "m0", 0, 0, true }); }));
}

// Guards against replies that are lost on a newer, silent link, so that the requests of the leader
// seem to be unanswered.
TEST_CASE_METHOD(SilentPeerFixture, "A message takes the link on which the peer was heard last")
{
  LinkConnection second(this->peer, this->self.linkAddress, EmulatedLatency{}, nullptr);
  REQUIRE(WaitFor([this, &second] { return second.IsReady() && this->accepted.size() == 1; }));
  bool isHeard = false;
  QObject::connect(
    this->links.get(), &MemberLinks::Received, this->links.get(), [&isHeard] { isHeard = true; });
  bool isAnswered = false;
  QObject::connect(this->peerSide,
                   &LinkConnection::Received,
                   this->links.get(),
                   [&isAnswered](const Message& aMessage) {
                     isAnswered = isAnswered || std::holds_alternative<AppendReply>(aMessage);
                   });
  this->peerSide->Send(AppendRequest{ 1, "m1", 0, 0, 0, 1, {} });
  REQUIRE(WaitFor([&isHeard] { return isHeard; }));
  REQUIRE(this->Sends(AppendReply{ 1, "m0", true, 0, 1 }));
  CHECK(WaitFor([&isAnswered] { return isAnswered; }));
}

// Guards against a leader that detects silent links to learners only after its election, one reply
// timeout after those to the voters.
TEST_CASE_METHOD(SilentPeerFixture, "A silent link without requests is replaced with the others")
{
  InstanceInfo learner = Control("control-2");
  const auto learnerServer = Listen(learner);
  int openedToLearner = 0;
  QObject::connect(
    learnerServer.get(), &LinkServer::Accepted, this->links.get(), [&] { ++openedToLearner; });
  this->addresses.push_back(learner.linkAddress);
  this->links->RefreshLinks(this->addresses, this->now);
  REQUIRE(WaitFor([&] { return this->links->Send("control-2", LeaveRequest{ "m0" }); }));
  CHECK(this->Reconnects([this] { this->Sends(VoteRequest{ 1, "m0", 0, 0, true }); }));
  this->links->RefreshLinks(this->addresses, this->now);
  CHECK(WaitFor([&] { return openedToLearner == 2; }));
}

// Guards against an instance that is never admitted: nobody answers its requests on a silent link,
// and no other instance knows its address.
TEST_CASE_METHOD(SilentPeerFixture,
                 "An instance that requests to join replaces silent links after the reply timeout")
{
  CHECK(this->Reconnects([this] {
    this->links->SendToAll(JoinRequest{ this->self, "m0", false });
  }));
}

// Guards against a port that accepts no more connections once the process ran out of descriptors.
TEST_CASE_METHOD(SilentPeerFixture, "Links are accepted again after descriptors ran out")
{
  // The connecting side gets its descriptor first; none is left for the accepting side.
  std::vector<int> descriptors;
  for (int each = dup(0); each >= 0; each = dup(0)) {
    descriptors.push_back(each);
  }
  REQUIRE(descriptors.size() > 8);
  const auto release = [&descriptors](std::size_t aCount) {
    for (std::size_t at = 0; at < aCount && !descriptors.empty(); ++at) {
      close(descriptors.back());
      descriptors.pop_back();
    }
  };
  release(1);
  QTcpSocket early;
  early.connectToHost(QHostAddress::LocalHost,
                      static_cast<quint16>(std::stoi(
                        this->self.linkAddress.substr(this->self.linkAddress.find(':') + 1))));
  WaitFor([&early] { return early.state() == QAbstractSocket::ConnectedState; });
  REQUIRE(early.state() == QAbstractSocket::ConnectedState);
  QEventLoop loop;
  QTimer::singleShot(200, &loop, &QEventLoop::quit);
  loop.exec();
  release(descriptors.size());
  LinkConnection later(this->peer, this->self.linkAddress, EmulatedLatency{}, nullptr);
  CHECK(WaitFor([&later] { return later.IsReady(); }));
}
