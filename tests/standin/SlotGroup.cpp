#include "SlotGroup.hpp"

#include <QCoreApplication>
#include <QTcpServer>

#include <stdexcept>
#include <thread>

namespace oleanderledge::stand_in {

namespace {

/// Addresses whose ports were free when they were probed. Another process can take them before use.
std::vector<std::string> FreeAddresses(std::size_t aCount)
{
  std::vector<std::unique_ptr<QTcpServer>> servers;
  std::vector<std::string> addresses;
  for (std::size_t index = 0; index < aCount; ++index) {
    servers.push_back(std::make_unique<QTcpServer>());
    servers.back()->listen(QHostAddress::LocalHost, 0);
    addresses.push_back("127.0.0.1:" + std::to_string(servers.back()->serverPort()));
  }
  return addresses;
}

} // namespace

void EnsureApplication()
{
  static int argumentCount = 1;
  static char name[] = "ol_test_standin";
  static char* arguments[] = { name, nullptr };
  static const QCoreApplication kApplication(argumentCount, arguments);
}

bool WaitUntil(const std::function<bool()>& aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

SlotGroup::SlotGroup(std::size_t aCount, const Adjust& aAdjust)
{
  EnsureApplication();
  const std::vector<std::string> addresses = FreeAddresses(aCount * 3);
  for (std::size_t index = 0; index < aCount; ++index) {
    Member member;
    SlotSettings& settings = member.settings;
    settings.service = "orders";
    settings.database = "orders-1";
    settings.slot = std::string(1, static_cast<char>('a' + index));
    settings.zone = "dalarna/mora-1";
    settings.connectDelayMs = 0;
    settings.initialPrimary = index == 0;
    settings.schema = "CREATE TABLE orders (id INTEGER PRIMARY KEY, item TEXT NOT NULL UNIQUE)";
    settings.clientAddress = addresses[3 * index];
    settings.replicationAddress = addresses[3 * index + 1];
    settings.httpAddress = addresses[3 * index + 2];
    for (std::size_t peer = 0; peer < aCount; ++peer) {
      if (peer != index) {
        settings.peers.push_back(addresses[3 * peer + 1]);
      }
    }
    if (aAdjust) {
      aAdjust(settings);
    }
    this->clientPorts.push_back(ParseAddress(settings.clientAddress).port);
    this->httpPorts.push_back(ParseAddress(settings.httpAddress).port);
    this->members.push_back(std::move(member));
  }
  this->threadObject = std::make_unique<QObject>();
  this->threadObject->moveToThread(&this->thread);
  this->thread.start();
  for (std::size_t index = 0; index < aCount; ++index) {
    this->StartMember(index);
  }
  const bool ready = WaitUntil([this, aCount] {
    for (std::size_t index = 0; index < aCount; ++index) {
      if (this->Term(index) != 1 || this->Applied(index) != 1) {
        return false;
      }
    }
    return this->IsPrimary(0);
  });
  if (!ready) {
    throw std::runtime_error("the group has no primary with caught-up replicas");
  }
}

SlotGroup::~SlotGroup()
{
  this->InThread([this] { this->members.clear(); });
  this->thread.quit();
  this->thread.wait();
}

void SlotGroup::On(std::size_t aSlot, const std::function<void(DatabaseSlot&)>& aFunction)
{
  this->InThread([&] { aFunction(*this->members[aSlot].slot); });
}

bool SlotGroup::IsPrimary(std::size_t aSlot)
{
  bool primary = false;
  this->On(aSlot, [&](DatabaseSlot& aMember) { primary = aMember.Context().store.IsPrimary(); });
  return primary;
}

std::uint64_t SlotGroup::Term(std::size_t aSlot)
{
  std::uint64_t term = 0;
  this->On(aSlot, [&](DatabaseSlot& aMember) { term = aMember.Context().store.Term(); });
  return term;
}

std::uint64_t SlotGroup::Received(std::size_t aSlot)
{
  std::uint64_t position = 0;
  this->On(aSlot, [&](DatabaseSlot& aMember) { position = aMember.Context().store.Received(); });
  return position;
}

std::uint64_t SlotGroup::Applied(std::size_t aSlot)
{
  std::uint64_t position = 0;
  this->On(aSlot, [&](DatabaseSlot& aMember) { position = aMember.Context().store.Applied(); });
  return position;
}

void SlotGroup::Restart(std::size_t aSlot)
{
  this->InThread([&] {
    this->members[aSlot].commands.reset();
    this->members[aSlot].slot.reset();
  });
  this->StartMember(aSlot);
}

void SlotGroup::InThread(const std::function<void()>& aFunction)
{
  QMetaObject::invokeMethod(this->threadObject.get(), aFunction, Qt::BlockingQueuedConnection);
}

void SlotGroup::StartMember(std::size_t aSlot)
{
  bool started = false;
  this->InThread([&] {
    Member& member = this->members[aSlot];
    member.slot = std::make_unique<DatabaseSlot>(member.settings, nullptr);
    member.commands = std::make_unique<CommandServer>(*member.slot, nullptr);
    started = member.slot->Start() && member.commands->Listen();
  });
  if (!started) {
    throw std::runtime_error("a port of the slot is taken");
  }
}

} // namespace oleanderledge::stand_in
