/// Test helper: a connection that a server has to accept.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include <string>

namespace oleanderledge::test {

/// A client socket. Connecting it needs no further file descriptor in this process, unlike
/// accepting it.
class UnacceptedConnection
{
public:
  UnacceptedConnection()
    : descriptor(socket(AF_INET, SOCK_STREAM, 0))
  {
    REQUIRE(this->descriptor >= 0);
  }
  UnacceptedConnection(const UnacceptedConnection&) = delete;
  UnacceptedConnection& operator=(const UnacceptedConnection&) = delete;
  ~UnacceptedConnection() { close(this->descriptor); }

  /// Connects to "127.0.0.1:port".
  void Connect(const std::string& aAddress) const
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(aAddress.find(':') + 1))));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(
      connect(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
  }

private:
  int descriptor;
};

} // namespace oleanderledge::test
