#include "oleanderledge/platform/PromotionClient.hpp"

#include "oleanderledge/platform/ControlMessages.hpp"

#include <QNetworkReply>

namespace oleanderledge::platform {

namespace {

/// Timeout of one call. The promotion itself takes up to 600 ms.
constexpr int kCallTimeoutMs = 1500;
constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;

} // namespace

PromotionClient::PromotionClient(std::string aAddress)
  : address(std::move(aAddress))
{
}

void PromotionClient::Promote(const std::string& aService,
                              const std::string& aBackend,
                              const std::string& aHolder,
                              std::uint64_t aFence,
                              Callback aCallback)
{
  QNetworkRequest request(QUrl(QString::fromStdString("http://" + this->address + "/promotion")));
  request.setTransferTimeout(kCallTimeoutMs);
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  request.setRawHeader("Oleanderledge-Lease-Holder", QByteArray::fromStdString(aHolder));
  request.setRawHeader("Oleanderledge-Fencing-Token", QByteArray::number(qulonglong(aFence)));
  QNetworkReply* reply =
    this->network.post(request, QByteArray::fromStdString(EncodePromotion(aService, aBackend)));
  QObject::connect(reply, &QNetworkReply::finished, this, [reply, callback = std::move(aCallback)] {
    reply->deleteLater();
    const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    callback(status == kHttpOk         ? PromotionOutcome::Accepted
             : status == kHttpConflict ? PromotionOutcome::Refused
                                       : PromotionOutcome::Unanswered);
  });
}

} // namespace oleanderledge::platform
