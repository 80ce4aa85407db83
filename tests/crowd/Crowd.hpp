/// Clients that do not behave, for tests of the program itself.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace oleanderledge::test {

/// What each client of a crowd sends: `head` once, then `body` several times.
struct CrowdScript
{
  std::string head;
  std::string body;
  std::size_t bodyCount = 1;
  /// Bytes that a client sends at most in one turn, so that messages arrive in pieces.
  std::size_t bytesPerTurn = std::size_t{ 256 } * 1024;
  /// Pause of a client between two turns.
  std::chrono::milliseconds pause{ 0 };
  bool readsAnswers = false;
};

/// Connections that send the same script at the same time without blocking. They stay open until
/// the server closes them or the crowd is destroyed.
class Crowd
{
public:
  /// Connects to "ip:port". Connections that fail are part of the crowd as closed ones.
  Crowd(const std::string& aAddress, std::size_t aCount, CrowdScript aScript);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Gives each client one turn, in which it sends what the connection takes without waiting.
  void Turn();
  /// True if no client has anything left to send.
  bool HasFinished() const;

private:
  struct Client
  {
    int descriptor = -1; ///< -1 once closed.
    std::size_t sent = 0;
    std::chrono::steady_clock::time_point nextTurn{};
  };

  void Send(Client& aClient) const;
  void ReadAnswers(Client& aClient) const;
  std::size_t TotalBytes() const
  {
    return this->script.head.size() + this->script.body.size() * this->script.bodyCount;
  }

  CrowdScript script;
  std::vector<Client> clients;
};

/// Opens a non-blocking connection to "ip:port"; -1 on failure.
int ConnectTo(const std::string& aAddress);

} // namespace oleanderledge::test
