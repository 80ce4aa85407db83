/// Test client of a proxy on the users' platform.
#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <string>

namespace oleanderledge::test {

/// Processes events until the condition holds, for at most 10 s. Returns whether it holds.
inline bool RunUntil(const std::function<bool()>& aCondition)
{
  QElapsedTimer elapsed;
  elapsed.start();
  while (!aCondition() && elapsed.elapsed() < 10'000) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
  }
  return aCondition();
}

/// A loopback address with a port that is free at the time of the call.
inline std::string FreeAddress()
{
  QTcpServer probe;
  probe.listen(QHostAddress::LocalHost, 0);
  return "127.0.0.1:" + std::to_string(probe.serverPort());
}

/// A caller that sends one line at a time and waits for an answer up to READY, or for the end of
/// the connection.
class Caller
{
public:
  Caller(const std::string& aAddress,
         const std::string& aDatabase,
         const std::string& aKey = "tester")
  {
    const auto colon = aAddress.find(':');
    this->socket.connectToHost(QHostAddress::LocalHost,
                               static_cast<quint16>(std::stoi(aAddress.substr(colon + 1))));
    this->startUpAnswer = this->Send("STARTUP " + aDatabase + " " + aKey);
  }

  std::string Send(const std::string& aLine)
  {
    const std::string line = aLine + "\r\n";
    this->socket.write(line.data(), static_cast<qint64>(line.size()));
    std::string answer;
    RunUntil([this, &answer] {
      answer += this->socket.readAll().toStdString();
      const bool isClosed =
        this->socket.state() == QAbstractSocket::UnconnectedState && answer.size() > 1;
      const std::size_t ready = answer.rfind("READY ");
      const bool isWhole = ready != std::string::npos && answer.ends_with("\r\n") &&
                           (ready == 0 || answer[ready - 1] == '\n');
      return isWhole || isClosed;
    });
    return answer;
  }

  std::string startUpAnswer;
  QTcpSocket socket;
};

struct Application
{
  int argumentCount = 0;
  QCoreApplication application{ argumentCount, nullptr };
};

} // namespace oleanderledge::test
