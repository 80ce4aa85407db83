#include "oleanderledge/cli/internal/HttpClient.hpp"

#include <QEventLoop>
#include <QJsonDocument>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QThread>

#include <sstream>

namespace oleanderledge {

namespace {

constexpr int kMaxRounds = 5;
constexpr int kRequestTimeoutMs = 2000;
/// An election takes up to 600 ms, so the pauses between five rounds outlast it.
constexpr unsigned long kRoundPauseMs = 300;
constexpr int kHttpServiceUnavailable = 503;

HttpAnswer SendOnce(const std::string& aUrl, const QByteArray& aBody)
{
  QNetworkAccessManager network;
  QNetworkRequest request(QUrl(QString::fromStdString(aUrl)));
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  request.setTransferTimeout(kRequestTimeoutMs);
  QNetworkReply* reply = aBody.isEmpty() ? network.get(request) : network.post(request, aBody);
  QEventLoop loop;
  QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
  loop.exec();
  HttpAnswer answer;
  answer.status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  answer.body = QJsonDocument::fromJson(reply->readAll()).object();
  delete reply;
  return answer;
}

} // namespace

HttpClient::HttpClient(const std::string& aAddresses)
{
  std::istringstream list(aAddresses);
  for (std::string address; std::getline(list, address, ',');) {
    this->addresses.push_back(address);
  }
}

Result<HttpAnswer> HttpClient::Get(const std::string& aPath)
{
  return this->Send(aPath, {});
}

Result<HttpAnswer> HttpClient::Post(const std::string& aPath, const QJsonObject& aBody)
{
  return this->Send(aPath, QJsonDocument(aBody).toJson(QJsonDocument::Compact));
}

Result<HttpAnswer> HttpClient::Send(const std::string& aPath, const QByteArray& aBody)
{
  HttpAnswer last;
  for (int round = 0; round < kMaxRounds; ++round) {
    if (round > 0) {
      QThread::msleep(kRoundPauseMs);
    }
    for (const std::string& address : this->addresses) {
      std::string url("http://");
      url.append(address).append(aPath);
      const HttpAnswer answer = SendOnce(url, aBody);
      if (answer.status != 0 && answer.status != kHttpServiceUnavailable) {
        return answer;
      }
      last = answer.status == 0 ? last : answer;
    }
  }
  if (last.status != 0) {
    return last;
  }
  return Fail(ResultCode::LinkClosed, "no instance answers");
}

} // namespace oleanderledge
