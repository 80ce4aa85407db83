#pragma once

#include "oleanderledge/limits/limits.hpp"
#include "oleanderledge/statements/StatementProtocol.hpp"

#include <QTcpSocket>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Size of a message in memory.
std::uint64_t BytesOf(const CallerMessage& aMessage);
std::uint64_t BytesOf(const Statement& aStatement);

/// Bytes from and to one caller, within ClientLimits. Decodes one message ahead of the one that is
/// handled; what the caller sends beyond that stays in the read buffer of the socket, which is
/// bounded, so that TCP slows the caller down.
class CallerChannel
{
public:
  /// Neither owns the socket nor closes it.
  CallerChannel(std::unique_ptr<CallerDecoder> aDecoder,
                QTcpSocket& aSocket,
                const ClientLimits& aLimits);

  /// Reads and decodes until a message is complete or no bytes are left.
  void Receive();
  /// True if a complete message waits and may be handled now, given the unread responses.
  bool HasReadyMessage() const { return this->next && !this->IsResponseUnread(); }
  /// True if a complete message waits.
  bool HasMessage() const { return this->next.has_value(); }
  /// Removes the complete message and decodes the one after it.
  CallerMessage Take();
  /// A violation of the protocol, once all messages before it have been taken.
  const std::optional<Error>& Violation() const { return this->violation; }

  void Write(std::string_view aBytes);
  /// Stops reading and frees what was received and not handled.
  void StopReading();

  /// Bytes that are held for the caller: received and not handled, or written and not read.
  std::uint64_t HeldBytes() const;
  /// Checks the time limits of a message that was begun and of unread responses.
  std::optional<ClosingReason> CheckTimeLimits(Instant aNow);

private:
  bool IsResponseUnread() const;
  /// Decodes the next message from the bytes read so far. Returns false if more are needed.
  bool Decode();
  std::uint64_t UnreadBytes() const
  {
    return static_cast<std::uint64_t>(this->socket.bytesToWrite());
  }

  std::unique_ptr<CallerDecoder> decoder;
  QTcpSocket& socket;
  const ClientLimits& limits;
  std::optional<CallerMessage> next;
  std::optional<Error> violation;
  bool isReading = true;
  std::optional<Instant> messageBegun; ///< Set while a part of the next message has been read.
  std::uint64_t written = 0;           ///< Bytes of all responses.
  /// All bytes of `written` up to this one must be read within the limit after `responseSince`.
  std::uint64_t responseEnd = 0;
  Instant responseSince{};
};

} // namespace oleanderledge
