#pragma once

#include "DatabaseSlot.hpp"

#include <QHttpServer>

namespace oleanderledge::stand_in {

/// The HTTP port of one slot, for tests: faults, lags, service time and the dump.
class CommandServer : public QObject
{
  Q_OBJECT

public:
  CommandServer(DatabaseSlot& aSlot, QObject* aParent);

  /// Opens the port. False if it is taken.
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
