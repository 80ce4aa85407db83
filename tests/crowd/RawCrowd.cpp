#include "tests/crowd/RawCrowd.hpp"

#include <QCoreApplication>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>

namespace oleanderledge::test {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kLongestRun(20);
constexpr std::chrono::seconds kLongestStall(3);
constexpr int kPollMs = 20;

/// Opens a connection without waiting for it. Returns -1 if that fails.
int Connect(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(static_cast<std::uint16_t>(std::atoi(aAddress.c_str() + colon + 1)));
  ::inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &target.sin_addr);
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor >= 0) {
    // Does not wait; poll() tells when the connection is there.
    static_cast<void>(
      ::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target)));
  }
  return descriptor;
}

/// Lets the objects of the test, such as its stand-in of a database, work meanwhile.
void ProcessEvents()
{
  QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
}

void Close(int& aDescriptor)
{
  if (aDescriptor >= 0) {
    ::close(aDescriptor);
    aDescriptor = -1;
  }
}

/// True if the text is one whole HTTP response.
bool IsWholeResponse(const std::string& aText)
{
  const std::size_t headEnd = aText.find("\r\n\r\n");
  if (headEnd == std::string::npos) {
    return false;
  }
  std::string head = aText.substr(0, headEnd);
  std::ranges::transform(
    head, head.begin(), [](unsigned char aByte) { return std::tolower(aByte); });
  constexpr std::string_view kName = "\r\ncontent-length:";
  const std::size_t length = head.find(kName);
  const std::size_t body =
    length == std::string::npos
      ? 0
      : static_cast<std::size_t>(std::atoll(head.c_str() + length + kName.size()));
  return aText.size() >= headEnd + 4 + body;
}

} // namespace

RawCrowd::RawCrowd(const std::string& aAddress, std::size_t aCount)
{
  this->connections.resize(aCount);
  for (Connection& connection : this->connections) {
    connection.descriptor = Connect(aAddress);
  }
}

RawCrowd::~RawCrowd()
{
  for (Connection& connection : this->connections) {
    Close(connection.descriptor);
  }
}

void RawCrowd::Send(const Stream& aStream)
{
  this->Run(aStream, false);
}

void RawCrowd::SendAndRead(const Stream& aStream)
{
  this->Run(aStream, true);
}

void RawCrowd::Run(const Stream& aStream, bool aReads)
{
  for (std::size_t index = 0; index < this->connections.size(); ++index) {
    this->connections[index].opening = aStream.opening ? aStream.opening(index) : std::string();
    this->connections[index].sent = 0;
  }
  const auto started = Clock::now();
  auto progressAt = started;
  while (Clock::now() - started < kLongestRun && Clock::now() - progressAt < kLongestStall) {
    std::vector<pollfd> polled;
    std::vector<Connection*> senders;
    for (Connection& connection : this->connections) {
      if (connection.descriptor < 0 || connection.sent >= aStream.bytes) {
        continue;
      }
      const int events = POLLOUT | POLLRDHUP | (aReads ? POLLIN : 0);
      polled.push_back({ connection.descriptor, static_cast<short>(events), 0 });
      senders.push_back(&connection);
    }
    if (senders.empty()) {
      break;
    }
    ::poll(polled.data(), polled.size(), kPollMs);
    for (std::size_t index = 0; index < senders.size(); ++index) {
      CloseIfEnded(*senders[index], polled[index].revents, aReads);
      if ((polled[index].revents & POLLOUT) != 0 && SendPiece(*senders[index], aStream)) {
        progressAt = Clock::now();
      }
    }
    ProcessEvents();
  }
}

bool RawCrowd::SendPiece(Connection& aConnection, const Stream& aStream)
{
  if (aConnection.descriptor < 0) {
    return false;
  }
  std::string_view piece;
  if (aConnection.sent < aConnection.opening.size()) {
    piece = std::string_view(aConnection.opening).substr(aConnection.sent);
  } else if (!aStream.filler.empty()) {
    const std::size_t offset =
      (aConnection.sent - aConnection.opening.size()) % aStream.filler.size();
    piece = std::string_view(aStream.filler).substr(offset);
  }
  piece = piece.substr(0, std::min(aStream.pieceBytes, aStream.bytes - aConnection.sent));
  const ssize_t sent =
    ::send(aConnection.descriptor, piece.data(), piece.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent > 0) {
    aConnection.sent += static_cast<std::size_t>(sent);
    return true;
  }
  if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
    Close(aConnection.descriptor);
  }
  return false;
}

void RawCrowd::CloseIfEnded(Connection& aConnection, short aEvents, bool aReads)
{
  if ((aEvents & (POLLERR | POLLHUP | POLLRDHUP | POLLNVAL)) != 0) {
    Close(aConnection.descriptor);
    return;
  }
  if (!aReads) {
    return;
  }
  std::array<char, 65536> discarded{};
  while (::recv(aConnection.descriptor, discarded.data(), discarded.size(), MSG_DONTWAIT) > 0) {
  }
}

void RunRequests(const std::string& aAddress,
                 std::size_t aConnections,
                 std::size_t aCount,
                 const std::function<std::string(std::size_t)>& aMakeRequest)
{
  struct Exchange
  {
    int descriptor = -1;
    std::string request;
    std::string response;
    bool isBusy = false;
  };
  std::vector<Exchange> exchanges(aConnections);
  std::size_t next = 0;
  const auto started = Clock::now();
  const auto isBusy = [](const Exchange& aEach) { return aEach.isBusy; };
  while (Clock::now() - started < kLongestRun &&
         (next < aCount || std::ranges::any_of(exchanges, isBusy))) {
    std::vector<pollfd> polled;
    for (Exchange& exchange : exchanges) {
      if (!exchange.isBusy && next < aCount) {
        exchange.request = aMakeRequest(next++);
        exchange.response.clear();
        exchange.isBusy = true;
      }
      if (exchange.descriptor < 0) {
        exchange.descriptor = Connect(aAddress);
      }
      const int events = POLLIN | (exchange.request.empty() ? 0 : POLLOUT);
      polled.push_back({ exchange.descriptor, static_cast<short>(events), 0 });
    }
    ::poll(polled.data(), polled.size(), kPollMs);
    for (std::size_t index = 0; index < exchanges.size(); ++index) {
      Exchange& exchange = exchanges[index];
      if ((polled[index].revents & POLLOUT) != 0 && !exchange.request.empty()) {
        const ssize_t sent = ::send(exchange.descriptor,
                                    exchange.request.data(),
                                    exchange.request.size(),
                                    MSG_NOSIGNAL | MSG_DONTWAIT);
        exchange.request.erase(0, static_cast<std::size_t>(std::max<ssize_t>(sent, 0)));
      }
      if ((polled[index].revents & (POLLIN | POLLERR | POLLHUP)) == 0) {
        continue;
      }
      std::array<char, 65536> bytes{};
      const ssize_t received =
        ::recv(exchange.descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
      if (received > 0) {
        exchange.response.append(bytes.data(), static_cast<std::size_t>(received));
        exchange.isBusy = exchange.isBusy && !IsWholeResponse(exchange.response);
      } else if (received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
        Close(exchange.descriptor);
        exchange.request.clear();
        exchange.isBusy = false;
      }
    }
    ProcessEvents();
  }
  for (Exchange& exchange : exchanges) {
    Close(exchange.descriptor);
  }
}

std::string HttpRequestText(const std::string& aMethod,
                            const std::string& aPath,
                            const std::string& aBody)
{
  return aMethod + " " + aPath +
         " HTTP/1.1\r\nHost: crowd\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace oleanderledge::test
