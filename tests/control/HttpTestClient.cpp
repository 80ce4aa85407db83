#include "tests/control/HttpTestClient.hpp"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QJsonDocument>
#include <QNetworkReply>
#include <QTcpServer>

namespace oleanderledge {

WithApplication::WithApplication()
{
  static int argumentCount = 1;
  static char name[] = "test";
  static char* arguments[] = { name, nullptr };
  static QCoreApplication application(argumentCount, arguments);
}

bool WaitUntil(const std::function<bool()>& aCondition)
{
  constexpr int kTimeoutMs = 10'000;
  QElapsedTimer timer;
  timer.start();
  while (!aCondition()) {
    if (timer.elapsed() > kTimeoutMs) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }
  return true;
}

std::string FreeAddress()
{
  QTcpServer server;
  server.listen(QHostAddress::LocalHost);
  return "127.0.0.1:" + std::to_string(server.serverPort());
}

HttpAnswer HttpTestClient::Request(const std::string& aAddress,
                                   const std::string& aPath,
                                   const QByteArray& aBody)
{
  const QNetworkRequest request = RequestTo(aAddress, aPath);
  QNetworkReply* reply =
    aBody.isEmpty() ? this->network.get(request) : this->network.post(request, aBody);
  WaitUntil([reply] { return reply->isFinished(); });
  HttpAnswer answer;
  answer.status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  answer.body = QJsonDocument::fromJson(reply->readAll()).object();
  reply->deleteLater();
  return answer;
}

int HttpTestClient::Put(const std::string& aAddress,
                        const std::string& aPath,
                        const QByteArray& aBody)
{
  return StatusOf(this->network.put(RequestTo(aAddress, aPath), aBody));
}

int HttpTestClient::Delete(const std::string& aAddress, const std::string& aPath)
{
  return StatusOf(this->network.deleteResource(RequestTo(aAddress, aPath)));
}

int HttpTestClient::StatusOf(QNetworkReply* aReply)
{
  WaitUntil([aReply] { return aReply->isFinished(); });
  aReply->deleteLater();
  return aReply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
}

QNetworkRequest HttpTestClient::RequestTo(const std::string& aAddress, const std::string& aPath)
{
  QNetworkRequest request(QUrl(QString::fromStdString("http://" + aAddress + aPath)));
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  return request;
}

} // namespace oleanderledge
