#pragma once

#include <QByteArray>
#include <QNetworkAccessManager>
#include <QObject>

#include <functional>
#include <string>

namespace oleanderledge {

/// Passes operator requests from a follower on to the leader.
class HttpForwarder : public QObject
{
  Q_OBJECT

public:
  /// HTTP status and body; status 0 if the leader did not answer.
  using Callback = std::function<void(int, const QByteArray&)>;

  explicit HttpForwarder(QObject* aParent);

  /// Sends a request to "ip:port". An empty body makes it a GET.
  void Forward(const std::string& aAddress,
               const QByteArray& aPathAndQuery,
               const QByteArray& aBody,
               Callback aCallback);

private:
  QNetworkAccessManager network;
};

/// Header that marks a forwarded request, so that two members that disagree about the leader do not
/// pass a request back and forth.
constexpr char kForwardedHeader[] = "X-Oleanderledge-Forwarded";

} // namespace oleanderledge
