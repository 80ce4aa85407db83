#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <QNetworkAccessManager>

#include <functional>
#include <string>

namespace oleanderledge {

/// Creates the application object that event loops need. Created before members that need it.
class WithApplication
{
public:
  WithApplication();
};

/// Runs the event loop until a condition holds. Returns false after 10 s.
bool WaitUntil(const std::function<bool()>& aCondition);

/// An unused loopback address "ip:port".
std::string FreeAddress();

struct HttpAnswer
{
  int status = 0;
  QJsonObject body;
};

/// Sends HTTP requests and waits for their answers in the event loop.
class HttpTestClient
{
public:
  /// An empty body makes it a GET.
  HttpAnswer Request(const std::string& aAddress,
                     const std::string& aPath,
                     const QByteArray& aBody = {});

private:
  QNetworkAccessManager network;
};

} // namespace oleanderledge
