#include "oleanderledge/entry/internal/UnitCollector.hpp"

#include <utility>

namespace oleanderledge {

std::optional<CollectedUnit> UnitCollector::AddMessage(std::string aMessage, Instant aNow)
{
  switch (aMessage.front()) {
    case 'X':
      return CollectedUnit{ CollectedUnit::Kind::Terminate, {}, aNow };
    case 'S':
      if (this->isSkippingUntilSync) {
        this->isSkippingUntilSync = false;
        return CollectedUnit{ CollectedUnit::Kind::Ready, {}, aNow };
      }
      this->collected += aMessage;
      return this->Complete(aNow);
    case 'Q':
      if (this->isSkippingUntilSync) {
        return std::nullopt;
      }
      if (this->collected.size() + aMessage.size() > this->maxUnitBytes) {
        return this->Refuse(ResultCode::MessageTooLarge, "the query is too large", true, aNow);
      }
      this->collected += aMessage;
      return this->Complete(aNow);
    case 'F':
      if (this->isSkippingUntilSync) {
        return std::nullopt;
      }
      return this->Refuse(
        ResultCode::FeatureNotSupported, "function calls are not supported", true, aNow);
    case 'P':
    case 'B':
    case 'D':
    case 'E':
    case 'C':
    case 'H':
      return this->AddExtendedQueryMessage(aMessage, aNow);
    case 'd':
    case 'c':
    case 'f':
      // CopyData, CopyDone and CopyFail after a refused COPY are ignored, as the protocol requires.
      return std::nullopt;
    default:
      break;
  }
  CollectedUnit violation{ CollectedUnit::Kind::Violation, {}, aNow };
  violation.code = ResultCode::ProtocolViolation;
  violation.detail =
    "unexpected message type " + std::to_string(static_cast<unsigned char>(aMessage.front()));
  return violation;
}

std::optional<CollectedUnit> UnitCollector::AddExtendedQueryMessage(const std::string& aMessage,
                                                                    Instant aNow)
{
  if (this->isSkippingUntilSync) {
    return std::nullopt;
  }
  if (aMessage.front() == 'H') {
    this->isSkippingUntilSync = true;
    return this->Refuse(ResultCode::FeatureNotSupported,
                        "Flush without Sync is not supported; send Sync instead",
                        false,
                        aNow);
  }
  if (this->collected.size() + aMessage.size() > this->maxUnitBytes) {
    this->isSkippingUntilSync = true;
    return this->Refuse(
      ResultCode::MessageTooLarge, "the messages before Sync are too large", false, aNow);
  }
  this->collected += aMessage;
  return std::nullopt;
}

CollectedUnit UnitCollector::Complete(Instant aNow)
{
  return { CollectedUnit::Kind::Work, std::exchange(this->collected, {}), aNow };
}

CollectedUnit UnitCollector::Refuse(ResultCode aCode,
                                    std::string aDetail,
                                    bool aEndsWithReady,
                                    Instant aNow)
{
  this->collected.clear();
  return { CollectedUnit::Kind::Refusal, {}, aNow, aCode, std::move(aDetail), aEndsWithReady };
}

} // namespace oleanderledge
