#include "oleanderledge/transport/transport.hpp"

#include "tests/entry/FakeOwner.hpp"
#include "tests/entry/TestCaller.hpp"

#include <QTcpServer>

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace oleanderledge::test;

namespace {

using Texts = std::vector<std::string>;

std::string FreeAddress()
{
  QTcpServer probe;
  probe.listen(QHostAddress::LocalHost, 0);
  return "127.0.0.1:" + std::to_string(probe.serverPort());
}

InstanceInfo InfoOf(const std::string& aId, const std::string& aAddress)
{
  InstanceInfo info;
  info.id = aId;
  info.linkAddress = aAddress;
  return info;
}

/// The owner's side of a proxy. It has a QObject tree of its own, so that a test can destroy it.
class OwnerProcess
{
public:
  explicit OwnerProcess(const std::string& aAddress)
    : links(CreateProxyLinks(&this->parent, InfoOf("owner", aAddress), {}, 2))
    , owner(*this->links.incoming)
    , server(InfoOf("owner", aAddress), {}, &this->parent)
  {
    this->links.incoming->SetOwner(&this->owner);
    QObject::connect(&this->server,
                     &LinkServer::Accepted,
                     &this->parent,
                     [this](LinkConnection* aLink) { this->links.incoming->Adopt(aLink); });
    REQUIRE(this->server.Listen(aAddress));
  }

  QObject parent;
  ProxyLinks links;
  FakeOwner owner;
  LinkServer server;
};

/// The entry side of a proxy, whose owner is at another address.
class EntryProcess
{
public:
  explicit EntryProcess(const std::string& aOwnerAddress)
  {
    EnsureApplication();
    EntrySettings settings;
    settings.self = InfoOf("entry", "127.0.0.1:1");
    settings.callersAddress = "127.0.0.1:0";
    this->links = CreateProxyLinks(&this->parent, settings.self, {}, 3);
    this->entry = CreateEntryService(&this->parent, settings, *this->links.outgoing).value();
    this->entry->ApplyDirectory(DirectoryWithOwner(aOwnerAddress));
  }

  QObject parent;
  ProxyLinks links;
  EntryService* entry = nullptr;
};

} // namespace

TEST_CASE("Units reach an owner in another process, and the first reply has a valid lease")
{
  const std::string address = FreeAddress();
  EntryProcess process(address);
  OwnerProcess remote(address);
  TestCaller caller(process.entry->CallersPort());
  REQUIRE(caller.Start());
  CHECK(caller.Query("INSERT") == Texts{ "C:INSERT", "Z:I" });
  CHECK(remote.links.incoming->LinkCount() == 1);
  caller.socket.abort();
  CHECK(WaitFor([&] { return remote.owner.closedChannels.size() == 1; }));
}

// Guards against a wrong "not run" and against a write that runs twice when an owner process ends.
TEST_CASE("When the owner's process ends, reads are resent and writes have an unknown outcome")
{
  const std::string address = FreeAddress();
  EntryProcess process(address);
  auto remote = std::make_unique<OwnerProcess>(address);
  TestCaller reader(process.entry->CallersPort());
  TestCaller writer(process.entry->CallersPort());
  REQUIRE(reader.Start({ { "options", "-c default_transaction_read_only=on" } }));
  REQUIRE(writer.Start());
  reader.ClearReceived();
  writer.ClearReceived();
  reader.Send(BuildQuery("SELECT /* hang */"));
  writer.Send(BuildQuery("INSERT /* hang */"));
  REQUIRE(WaitFor([&] { return remote->owner.requests.size() == 2; }));
  remote.reset();
  REQUIRE(writer.WaitForReady(1));
  CHECK(writer.Messages() ==
        Texts{ "E:ERROR 08007 the outcome of the statement is unknown [1203, unknown]", "Z:I" });
  remote = std::make_unique<OwnerProcess>(address);
  REQUIRE(WaitFor([&] { return !remote->owner.requests.empty(); }));
  CHECK(remote->owner.requests[0].readOnly);
  CHECK(process.entry->Counters().resends >= 1);
  CHECK(writer.Query("SELECT") == Texts{ "C:SELECT", "Z:I" });
  CHECK(remote->owner.requests.size() == 2);
}

// Guards against callers that wait without limit for an owner that is cut off from the network
// while its connections stay open.
TEST_CASE("An owner that sends nothing any more is treated as lost")
{
  EnsureApplication();
  QTcpServer silent;
  REQUIRE(silent.listen(QHostAddress::LocalHost, 0));
  const std::string address = "127.0.0.1:" + std::to_string(silent.serverPort());
  EntryProcess process(address);
  QObject::connect(&silent, &QTcpServer::newConnection, &silent, [&] {
    const std::string hello = EncodeFrame(Hello{ kLinkProtocolVersion, InfoOf("silent", address) });
    silent.nextPendingConnection()->write(hello.data(), static_cast<qint64>(hello.size()));
  });
  TestCaller caller(process.entry->CallersPort());
  REQUIRE(caller.Start());
  const Instant before = MonotonicNow();
  CHECK(caller.Query("INSERT").at(0) ==
        "E:ERROR 08007 the outcome of the statement is unknown [1203, unknown]");
  CHECK(MonotonicNow() - before < std::chrono::seconds(2));
}

TEST_CASE("A link is closed when it receives a message type that is not allowed on it")
{
  const std::string address = FreeAddress();
  EnsureApplication();
  OwnerProcess remote(address);
  QObject parent;
  LinkConnection link(InfoOf("other", ""), address, {}, &parent);
  REQUIRE(WaitFor([&] { return link.IsReady(); }));
  link.Send(LinkPing{ 1 });
  RunFor(20);
  CHECK(!link.IsClosed());
  link.Send(VoteRequest{});
  CHECK(WaitFor([&] { return link.IsClosed(); }));
  CHECK(WaitFor([&] { return remote.owner.closedLinks.size() == 1; }));
}
