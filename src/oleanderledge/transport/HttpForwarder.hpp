#pragma once

#include <QByteArray>
#include <QNetworkAccessManager>
#include <QObject>

#include <functional>
#include <string>

namespace oleanderledge {

/// Forwards HTTP requests of operators to another instance.
class HttpForwarder : public QObject
{
  Q_OBJECT

public:
  /// Called with the HTTP status and the body; status 0 if the connection failed or no answer
  /// arrived within 3 s.
  using Callback = std::function<void(int, const QByteArray&)>;

  explicit HttpForwarder(QObject* aParent);

  /// Whether the receiver may forward the request again. Final requests have kForwardedHeader set
  /// and are not forwarded further.
  enum class Hop
  {
    First,
    Final,
  };

  /// Sends a request to "ip:port": a GET if the body is empty, else a POST.
  void Forward(const std::string& aAddress,
               const QByteArray& aPathAndQuery,
               const QByteArray& aBody,
               Hop aHop,
               Callback aCallback);

private:
  QNetworkAccessManager network;
};

/// Header that marks a forwarded request, so that two members that each take the other for the
/// leader do not forward a request back and forth.
constexpr char kForwardedHeader[] = "X-Oleanderledge-Forwarded";

} // namespace oleanderledge
