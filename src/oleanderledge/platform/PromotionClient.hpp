#pragma once

#include "oleanderledge/control/PromotionService.hpp"

#include <QNetworkAccessManager>
#include <QObject>

namespace oleanderledge::platform {

/// Promotes backend servers by HTTP calls to the platform. Status 200 is reported as Accepted, 409
/// as Refused; any other status, a timeout and a failed connection as Unanswered.
class PromotionClient
  : public QObject
  , public PromotionService
{
  Q_OBJECT

public:
  /// `aAddress` is the platform's "ip:port".
  explicit PromotionClient(std::string aAddress);

  void Promote(const std::string& aService,
               const std::string& aBackend,
               const std::string& aHolder,
               std::uint64_t aFence,
               Callback aCallback) override;

private:
  std::string address;
  QNetworkAccessManager network;
};

} // namespace oleanderledge::platform
