#include "tests/crowd/Crowd.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <utility>

namespace oleanderledge::test {

int ConnectTo(const std::string& aAddress)
{
  const std::size_t colon = aAddress.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  if (::inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr) != 1) {
    return -1;
  }
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return -1;
  }
  const int connected =
    ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (connected != 0 && errno != EINPROGRESS) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

Crowd::Crowd(const std::string& aAddress, std::size_t aCount, CrowdScript aScript)
  : script(std::move(aScript))
{
  for (std::size_t index = 0; index < aCount; ++index) {
    this->clients.push_back({ ConnectTo(aAddress), 0, {} });
  }
}

Crowd::~Crowd()
{
  for (const Client& client : this->clients) {
    if (client.descriptor >= 0) {
      ::close(client.descriptor);
    }
  }
}

void Crowd::Turn()
{
  const auto now = std::chrono::steady_clock::now();
  for (Client& client : this->clients) {
    if (client.descriptor < 0 || now < client.nextTurn) {
      continue;
    }
    client.nextTurn = now + this->script.pause;
    this->Send(client);
    this->ReadAnswers(client);
  }
}

void Crowd::Send(Client& aClient) const
{
  std::size_t left = this->script.bytesPerTurn;
  while (left > 0 && aClient.sent < this->TotalBytes()) {
    std::string_view piece;
    if (aClient.sent < this->script.head.size()) {
      piece = std::string_view(this->script.head).substr(aClient.sent);
    } else {
      const std::size_t offset =
        (aClient.sent - this->script.head.size()) % this->script.body.size();
      piece = std::string_view(this->script.body).substr(offset);
    }
    piece = piece.substr(0, left);
    const ssize_t count = ::send(aClient.descriptor, piece.data(), piece.size(), MSG_NOSIGNAL);
    if (count < 0) {
      if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN) {
        ::close(std::exchange(aClient.descriptor, -1));
      }
      return;
    }
    aClient.sent += static_cast<std::size_t>(count);
    left -= static_cast<std::size_t>(count);
  }
}

void Crowd::ReadAnswers(Client& aClient) const
{
  constexpr std::size_t kReadBytes = std::size_t{ 64 } * 1024;
  static std::array<char, kReadBytes> discarded;
  if (aClient.descriptor < 0 || !this->script.readsAnswers) {
    return;
  }
  ssize_t count = 1;
  while (count > 0) {
    count = ::recv(aClient.descriptor, discarded.data(), discarded.size(), 0);
  }
  if (count == 0) {
    ::close(std::exchange(aClient.descriptor, -1));
  }
}

bool Crowd::HasFinished() const
{
  return std::ranges::all_of(this->clients, [this](const Client& aEach) {
    return aEach.descriptor < 0 || aEach.sent == this->TotalBytes();
  });
}

} // namespace oleanderledge::test
