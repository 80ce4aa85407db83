#include "oleanderledge/transport/HttpForwarder.hpp"

#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

namespace oleanderledge {

namespace {

constexpr int kForwardTimeoutMs = 3000;

} // namespace

HttpForwarder::HttpForwarder(QObject* aParent)
  : QObject(aParent)
{
  this->network.setProxy(QNetworkProxy::NoProxy);
}

void HttpForwarder::Forward(const std::string& aAddress,
                            const QByteArray& aPathAndQuery,
                            const QByteArray& aBody,
                            Hop aHop,
                            Callback aCallback)
{
  QNetworkRequest request(
    QUrl("http://" + QString::fromStdString(aAddress) + QString::fromUtf8(aPathAndQuery)));
  request.setTransferTimeout(kForwardTimeoutMs);
  if (aHop == Hop::Final) {
    request.setRawHeader(kForwardedHeader, "1");
  }
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  QNetworkReply* reply =
    aBody.isEmpty() ? this->network.get(request) : this->network.post(request, aBody);
  QObject::connect(reply, &QNetworkReply::finished, this, [reply, callback = std::move(aCallback)] {
    const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    callback(status, reply->readAll());
    reply->deleteLater();
  });
}

} // namespace oleanderledge
