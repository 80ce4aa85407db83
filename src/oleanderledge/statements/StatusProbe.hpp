#pragma once

#include "oleanderledge/control/PositionQuery.hpp"
#include "oleanderledge/statements/StatementProtocol.hpp"

#include <QObject>

#include <memory>

namespace oleanderledge {

/// Queries the received log positions of backend servers, each over a separate connection that is
/// closed after the answer.
class StatusProbe
  : public QObject
  , public PositionQuery
{
  Q_OBJECT

public:
  explicit StatusProbe(std::unique_ptr<StatementProtocol> aProtocol);
  ~StatusProbe() override;

  void QueryReceived(const BackendRow& aBackend, Callback aCallback) override;

private:
  std::unique_ptr<StatementProtocol> protocol;
};

} // namespace oleanderledge
