#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <QNetworkAccessManager>

#include <functional>
#include <string>

namespace oleanderledge {

/// Creates the QCoreApplication that event loops need. A base class of fixtures, so that it exists
/// before their members.
class WithApplication
{
public:
  WithApplication();
};

/// Runs the event loop until a condition holds. Returns false after 10 s.
bool WaitUntil(const std::function<bool()>& aCondition);

/// Address "ip:port" of a loopback port that was free at the time of the call.
std::string FreeAddress();

/// A status of 0 means that the request was not answered. The body is empty if it is not a JSON
/// object.
struct HttpAnswer
{
  int status = 0;
  QJsonObject body;
};

/// Sends HTTP requests and runs the event loop until they are answered, for 10 s at most.
class HttpTestClient
{
public:
  /// Sends a GET to "ip:port", or a POST if the body is not empty.
  HttpAnswer Request(const std::string& aAddress,
                     const std::string& aPath,
                     const QByteArray& aBody = {});
  /// Sends a PUT to "ip:port" and returns the status; 0 if it was not answered.
  int Put(const std::string& aAddress, const std::string& aPath, const QByteArray& aBody);
  /// Sends a DELETE to "ip:port" and returns the status; 0 if it was not answered.
  int Delete(const std::string& aAddress, const std::string& aPath);

private:
  /// Waits for the answer and returns its status.
  static int StatusOf(QNetworkReply* aReply);
  static QNetworkRequest RequestTo(const std::string& aAddress, const std::string& aPath);

  QNetworkAccessManager network;
};

} // namespace oleanderledge
