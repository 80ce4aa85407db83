#pragma once

#include <QByteArray>
#include <QNetworkAccessManager>
#include <QObject>

#include <functional>
#include <string>

namespace oleanderledge {

/// Passes operator requests on to another instance.
class HttpForwarder : public QObject
{
  Q_OBJECT

public:
  /// HTTP status and body; status 0 if the instance did not answer.
  using Callback = std::function<void(int, const QByteArray&)>;

  explicit HttpForwarder(QObject* aParent);

  /// A final hop is marked with kForwardedHeader, and its receiver passes it on no further.
  enum class Hop
  {
    First,
    Final,
  };

  /// Sends a request to "ip:port". An empty body makes it a GET.
  void Forward(const std::string& aAddress,
               const QByteArray& aPathAndQuery,
               const QByteArray& aBody,
               Hop aHop,
               Callback aCallback);

private:
  QNetworkAccessManager network;
};

/// Header that marks a forwarded request, so that two members that disagree about the leader do not
/// pass a request back and forth.
constexpr char kForwardedHeader[] = "X-Oleanderledge-Forwarded";

} // namespace oleanderledge
