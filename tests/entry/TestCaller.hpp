#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/link.hpp"
#include "oleanderledge/wire/wire.hpp"

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpSocket>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace oleanderledge::test {

inline void EnsureApplication()
{
  static int count = 1;
  static char name[] = "test";
  static char* arguments[] = { name, nullptr };
  static QCoreApplication application(count, arguments);
}

/// A directory with the database "orders", whose owner is at `aAddress`.
inline std::shared_ptr<const Directory> DirectoryWithOwner(const std::string& aAddress)
{
  DatabaseRow row;
  row.name = "orders";
  row.owner = "proxy";
  row.ownerAddress = aAddress;
  row.ownerEpoch = 1;
  row.version = 1;
  auto directory = std::make_shared<Directory>();
  directory->Apply({ 0, 1, {}, { row } });
  return directory;
}

/// Runs the event loop until the condition holds. Returns false after the timeout.
inline bool WaitFor(const std::function<bool()>& aCondition, int aTimeoutMs = 5000)
{
  const Instant end = MonotonicNow() + std::chrono::milliseconds(aTimeoutMs);
  while (!aCondition()) {
    if (MonotonicNow() > end) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 10);
  }
  return true;
}

inline void RunFor(int aMilliseconds)
{
  (void)WaitFor([] { return false; }, aMilliseconds);
}

/// Client that sends and reads raw protocol messages on the callers' port.
class TestCaller
{
public:
  using Parameters = std::vector<std::pair<std::string, std::string>>;

  explicit TestCaller(std::uint16_t aPort)
  {
    this->socket.connectToHost(QHostAddress::LocalHost, aPort);
    WaitFor([this] { return this->socket.state() == QAbstractSocket::ConnectedState; });
  }

  /// Starts a session for the database "orders".
  bool Start(Parameters aMore = {})
  {
    aMore.insert(aMore.begin(), { { "user", "counter" }, { "database", "orders" } });
    this->Send(BuildStartup(aMore));
    return this->WaitForReady(1);
  }

  void Send(const std::string& aBytes)
  {
    this->socket.write(aBytes.data(), static_cast<qint64>(aBytes.size()));
    this->socket.flush();
  }

  /// Sends a query and returns the messages up to its ReadyForQuery, each as "type:detail".
  std::vector<std::string> Query(const std::string& aSql)
  {
    this->ClearReceived();
    this->Send(BuildQuery(aSql));
    this->WaitForReady(1);
    return this->Messages();
  }

  void ClearReceived() { this->received.clear(); }

  void Read()
  {
    const QByteArray bytes = this->socket.readAll();
    this->received.append(bytes.constData(), static_cast<std::size_t>(bytes.size()));
  }

  bool WaitForReady(int aCount)
  {
    return WaitFor([&] {
      this->Read();
      const auto views = SplitMessages(this->received);
      return std::count_if(views.begin(), views.end(), [](const MessageView& aView) {
               return aView.type == 'Z';
             }) >= aCount;
    });
  }

  bool WaitForClose()
  {
    return WaitFor([&] {
      this->Read();
      return this->socket.state() == QAbstractSocket::UnconnectedState;
    });
  }

  std::vector<std::string> Messages() const
  {
    std::vector<std::string> messages;
    for (const MessageView& view : SplitMessages(this->received)) {
      std::string text(1, view.type);
      if (view.type == 'E') {
        const ErrorFields fields = ReadErrorFields(view.body);
        text += ":" + fields.severity + " " + fields.sqlstate + " " + fields.message;
      } else if (view.type == 'C' || view.type == 'Z') {
        text += ":" + std::string(view.body.substr(0, view.body.find('\0')));
      } else if (view.type == 'D') {
        text += ":" + ReadDataRow(view.body).at(0).value_or("NULL");
      }
      messages.push_back(text);
    }
    return messages;
  }

  /// Key for cancel requests from BackendKeyData in the start-up reply.
  CancelRequest Key() const
  {
    for (const MessageView& view : SplitMessages(this->received)) {
      if (view.type == 'K') {
        FieldReader fields(view.body);
        const auto processId = static_cast<std::uint32_t>(fields.ReadInt32());
        return { processId, static_cast<std::uint32_t>(fields.ReadInt32()) };
      }
    }
    return {};
  }

  QTcpSocket socket;
  std::string received;
};

} // namespace oleanderledge::test
