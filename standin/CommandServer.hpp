#pragma once

#include "DatabaseSlot.hpp"

#include <QHttpServer>

namespace oleanderledge::stand_in {

/// HTTP server of one slot with which tests inject faults, set lags and the service time, and
/// fetch a dump of the data.
class CommandServer : public QObject
{
  Q_OBJECT

public:
  CommandServer(DatabaseSlot& aSlot, QObject* aParent);

  /// Opens the port. Returns false if it is in use.
  bool Listen();
  SocketAddress Address() const { return this->address; }

private:
  void AddFaultRoutes();
  void AddSettingRoutes();

  DatabaseSlot& slot;
  SocketAddress address;
  QHttpServer server;
};

} // namespace oleanderledge::stand_in
