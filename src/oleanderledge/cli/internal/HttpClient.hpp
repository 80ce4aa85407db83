#pragma once

#include "oleanderledge/base/base.hpp"

#include <QByteArray>
#include <QJsonObject>

#include <string>
#include <vector>

namespace oleanderledge {

/// Answer of an instance to an operator request.
struct HttpAnswer
{
  int status = 0;
  QJsonObject body;
};

/// Sends operator requests and waits for the answers. Tries the addresses in turn until one answers
/// other than 503, and goes round up to a fixed number of times; a change must carry a request id
/// so that a second sending has no second effect.
class HttpClient
{
public:
  /// `aAddresses` is "IP:PORT[,IP:PORT...]".
  explicit HttpClient(const std::string& aAddresses);

  /// Fails with LinkClosed if no address answers.
  Result<HttpAnswer> Get(const std::string& aPath);
  Result<HttpAnswer> Post(const std::string& aPath, const QJsonObject& aBody);

private:
  Result<HttpAnswer> Send(const std::string& aPath, const QByteArray& aBody);

  std::vector<std::string> addresses;
};

} // namespace oleanderledge
