#include "oleanderledge/control/internal/LibpqBackendAdmin.hpp"

#include "oleanderledge/control/internal/BackendCall.hpp"
#include "oleanderledge/transport/LinkConnection.hpp"

namespace oleanderledge {

namespace {

/// Quotes a value of a libpq connection string.
std::string QuoteConnectionValue(const std::string& aValue)
{
  std::string quoted = "'";
  for (const char byte : aValue) {
    if (byte == '\'' || byte == '\\') {
      quoted.push_back('\\');
    }
    quoted.push_back(byte);
  }
  return quoted + "'";
}

} // namespace

LibpqBackendAdmin::LibpqBackendAdmin(std::string aUser, Duration aTimeout, QObject* aParent)
  : QObject(aParent)
  , user(std::move(aUser))
  , timeout(aTimeout)
{
}

void LibpqBackendAdmin::Promote(const std::string& aDatabase,
                                const std::string& aAddress,
                                std::uint64_t aTerm,
                                Callback aCallback)
{
  this->StartCall(aDatabase,
                  aAddress,
                  "SELECT platform_promote(" + std::to_string(aTerm) + ")",
                  std::move(aCallback));
}

void LibpqBackendAdmin::QueryStatus(const std::string& aDatabase,
                                    const std::string& aAddress,
                                    Callback aCallback)
{
  this->StartCall(aDatabase, aAddress, "SELECT * FROM platform_status()", std::move(aCallback));
}

void LibpqBackendAdmin::StartCall(const std::string& aDatabase,
                                  const std::string& aAddress,
                                  std::string aQuery,
                                  Callback aCallback)
{
  const auto [host, port] = SplitAddress(aAddress);
  new BackendCall("hostaddr=" + QuoteConnectionValue(host) + " port=" + std::to_string(port) +
                    " dbname=" + QuoteConnectionValue(aDatabase) +
                    " user=" + QuoteConnectionValue(this->user) +
                    " sslmode=disable gssencmode=disable application_name=oleanderledge_control",
                  std::move(aQuery),
                  this->timeout,
                  std::move(aCallback),
                  this);
}

} // namespace oleanderledge
