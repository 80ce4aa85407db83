/// Clients that do not behave, for tests of what a process holds for them.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace oleanderledge::test {

/// TCP connections to one address ("ip:port") that stay open until the crowd is destroyed, unless
/// the peer closes them.
class RawCrowd
{
public:
  RawCrowd(const std::string& aAddress, std::size_t aCount);
  ~RawCrowd();
  RawCrowd(const RawCrowd&) = delete;
  RawCrowd& operator=(const RawCrowd&) = delete;

  /// What each connection sends: an opening, then a filler again and again until it has sent
  /// `bytes` in all.
  struct Stream
  {
    std::function<std::string(std::size_t aConnection)> opening;
    std::string filler;
    std::size_t bytes = 0;
    std::size_t pieceBytes = std::size_t{ 64 } * 1024; ///< Longest piece of one round.
  };

  /// Sends on all connections at once and reads nothing. Ends when all has been sent, when the peer
  /// has closed the connections, or when it has taken nothing for 3 s; after 20 s at the latest.
  void Send(const Stream& aStream);

  /// Like Send(), but reads and discards what the peer sends.
  void SendAndRead(const Stream& aStream);

private:
  struct Connection
  {
    int descriptor = -1; ///< -1 once it is closed.
    std::string opening;
    std::size_t sent = 0;
  };

  void Run(const Stream& aStream, bool aReads);
  static bool SendPiece(Connection& aConnection, const Stream& aStream);
  static void CloseIfEnded(Connection& aConnection, short aEvents, bool aReads);

  std::vector<Connection> connections;
};

/// Sends `aCount` HTTP requests over `aConnections` connections, each after the answer to the
/// previous one of its connection. A connection that the server closes is opened again, and its
/// request is not repeated. Ends after 20 s at the latest.
void RunRequests(const std::string& aAddress,
                 std::size_t aConnections,
                 std::size_t aCount,
                 const std::function<std::string(std::size_t aRequest)>& aMakeRequest);

/// A whole HTTP request with a JSON body.
std::string HttpRequestText(const std::string& aMethod,
                            const std::string& aPath,
                            const std::string& aBody);

} // namespace oleanderledge::test
