#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace oleanderledge {

/// Messages of a caller that are answered together.
struct CollectedUnit
{
  enum class Kind : std::uint8_t
  {
    Work,      ///< Messages up to and including one Query or Sync.
    Refusal,   ///< Refused; the messages are discarded.
    Ready,     ///< Sync after a refused series of messages; answered by ReadyForQuery alone.
    Terminate, ///< The caller ends the session.
    Violation, ///< Protocol violation; the session must be closed.
  };

  Kind kind = Kind::Work;
  std::string payload = {};         ///< Whole messages, for Work.
  Instant arrived = {};             ///< Arrival of the last message.
  ResultCode code = ResultCode::Ok; ///< For Refusal and Violation.
  std::string detail = {};          ///< Error text for Refusal and Violation.
  /// ReadyForQuery follows the error at once, because the caller sends no Sync.
  bool endsWithReady = false;
};

/// Groups a caller's messages into units. After an error in the extended query protocol, discards
/// all messages up to the next Sync, as the protocol requires.
class UnitCollector
{
public:
  /// Units larger than `aMaxUnitBytes` are refused, because a unit has to fit into one link frame.
  explicit UnitCollector(std::size_t aMaxUnitBytes)
    : maxUnitBytes(aMaxUnitBytes)
  {
  }

  /// Adds one whole message. Returns the unit that it completes, if any.
  std::optional<CollectedUnit> AddMessage(std::string aMessage, Instant aNow);

private:
  CollectedUnit Refuse(ResultCode aCode, std::string aDetail, bool aEndsWithReady, Instant aNow);
  std::optional<CollectedUnit> AddExtendedQueryMessage(const std::string& aMessage, Instant aNow);
  CollectedUnit Complete(Instant aNow);

  std::size_t maxUnitBytes;
  std::string collected;
  bool isSkippingUntilSync = false;
};

} // namespace oleanderledge
