#pragma once

#include "oleanderledge/control/internal/BackendAdmin.hpp"

#include <QObject>

#include <string>

namespace oleanderledge {

/// Calls backend servers through libpq. Each call opens its own connection: calls are rare and must
/// not depend on a connection that was lost with the previous primary.
class LibpqBackendAdmin
  : public QObject
  , public BackendAdmin
{
  Q_OBJECT

public:
  /// `aTimeout` limits one call with its connection set-up.
  LibpqBackendAdmin(std::string aUser, Duration aTimeout, QObject* aParent);

  void Promote(const std::string& aDatabase,
               const std::string& aAddress,
               std::uint64_t aTerm,
               Callback aCallback) override;
  void QueryStatus(const std::string& aDatabase,
                   const std::string& aAddress,
                   Callback aCallback) override;

private:
  void StartCall(const std::string& aDatabase,
                 const std::string& aAddress,
                 std::string aQuery,
                 Callback aCallback);

  std::string user;
  Duration timeout;
};

} // namespace oleanderledge
