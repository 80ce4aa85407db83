/// Test client that never pauses, and times of a graceful stop for tests with it.
#pragma once

#include "oleanderledge/statements/statements.hpp"
#include "tests/statements/Caller.hpp"

#include <map>
#include <string>

namespace oleanderledge::test {

/// Times of a graceful stop that keep a test short.
inline StatementServiceSettings ShortStop()
{
  StatementServiceSettings settings;
  settings.closeIdleSessionsAfter = std::chrono::milliseconds(100);
  settings.abortTransactionsAfter = std::chrono::milliseconds(200);
  settings.answerUnfinishedAfter = std::chrono::milliseconds(400);
  return settings;
}

/// A caller that always has several statements in progress, so that its session is never idle.
class BusyCaller
{
public:
  /// If `aFirst` is not empty, it is sent before all other statements.
  BusyCaller(const std::string& aAddress,
             const std::string& aDatabase,
             const std::string& aFirst = "")
    : caller(aAddress, aDatabase)
  {
    if (!aFirst.empty()) {
      this->caller.Send("QUERY first " + aFirst);
    }
    QObject::connect(&this->caller.socket, &QTcpSocket::readyRead, [this] { this->Receive(); });
    for (int count = 0; count < 3; ++count) {
      this->SendNext();
    }
  }

  bool IsClosed() const { return this->caller.socket.state() == QAbstractSocket::UnconnectedState; }

  /// By statement id: "COMPLETE" or the code of the error.
  std::map<std::string, std::string> answers;
  int sent = 0;

private:
  void SendNext()
  {
    const std::string line = "QUERY n" + std::to_string(++this->sent) + " WRITE a x\r\n";
    this->caller.socket.write(line.data(), static_cast<qint64>(line.size()));
  }

  void Receive()
  {
    while (this->caller.socket.canReadLine()) {
      const std::string line = this->caller.socket.readLine().toStdString();
      if (line.starts_with("READY")) {
        this->SendNext();
        continue;
      }
      const std::string word = line.substr(0, line.find(' ', line.find(' ') + 1));
      this->answers["n" + std::to_string(this->answers.size() + 1)] =
        word.starts_with("COMPLETE") ? "COMPLETE" : word;
    }
  }

  Caller caller;
};

} // namespace oleanderledge::test
