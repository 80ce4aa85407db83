#pragma once

#include "oleanderledge/control/PositionQuery.hpp"
#include "oleanderledge/statements/StatementProtocol.hpp"

#include <QObject>

#include <memory>

namespace oleanderledge {

/// Asks backend servers for their positions, each on a connection of its own.
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
