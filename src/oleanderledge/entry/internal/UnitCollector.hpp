#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace oleanderledge {

/// What a caller sent, in units that are answered in order.
struct CollectedUnit
{
  enum class Kind : std::uint8_t
  {
    Work,      ///< Messages up to and including one Query or Sync.
    Refusal,   ///< Refused without being looked at further.
    Ready,     ///< The Sync that ends a refused series; only ReadyForQuery answers it.
    Terminate, ///< The caller ends the session.
    Violation, ///< The session must be closed.
  };

  Kind kind = Kind::Work;
  std::string payload = {}; ///< Whole messages, for Work.
  Instant arrived = {};
  ResultCode code = ResultCode::Ok; ///< For Refusal and Violation.
  std::string detail = {};
  /// The refusal is followed by ReadyForQuery at once, because no Sync will follow.
  bool endsWithReady = false;
};

/// Collects a caller's messages into units and applies the protocol's rule that after an error all
/// messages up to the next Sync are skipped.
class UnitCollector
{
public:
  /// Units over `aMaxUnitBytes` are refused: they have to fit into one link frame.
  explicit UnitCollector(std::size_t aMaxUnitBytes)
    : maxUnitBytes(aMaxUnitBytes)
  {
  }

  /// Adds one whole message; returns the unit that it completes, if any.
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
