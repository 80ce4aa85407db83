#pragma once

#include "oleanderledge/base/base.hpp"

#include <QByteArray>
#include <QJsonObject>

#include <string>
#include <vector>

namespace oleanderledge {

/// Response of an instance to an operator request.
struct HttpAnswer
{
  int status = 0; ///< HTTP status code; 0 if there was no response.
  QJsonObject body;
};

/// Sends operator requests synchronously. Tries the addresses in turn until one answers with a
/// status other than 503, for up to five rounds. A change must carry a request id, so that it is
/// applied once even if it is sent again.
class HttpClient
{
public:
  /// `aAddresses` is "IP:PORT[,IP:PORT...]".
  explicit HttpClient(const std::string& aAddresses);

  /// Fails with LinkClosed if no address answers. If all answers are 503, returns the last one.
  Result<HttpAnswer> Get(const std::string& aPath);
  /// Sends a JSON body; errors as for Get().
  Result<HttpAnswer> Post(const std::string& aPath, const QJsonObject& aBody);

private:
  Result<HttpAnswer> Send(const std::string& aPath, const QByteArray& aBody);

  std::vector<std::string> addresses;
};

} // namespace oleanderledge
