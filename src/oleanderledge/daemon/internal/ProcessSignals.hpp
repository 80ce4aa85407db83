#pragma once

#include <QObject>
#include <QSocketNotifier>

namespace oleanderledge {

/// Emits a Qt signal for SIGTERM, SIGINT and SIGHUP. A second SIGTERM or SIGINT ends the process at
/// once with exit code 128 + signal number. At most one object may exist in a process, because the
/// signal handler uses global state. If its pipe cannot be created, the signals keep their default
/// actions.
class ProcessSignals : public QObject
{
  Q_OBJECT

public:
  explicit ProcessSignals(QObject* aParent);
  ~ProcessSignals() override;

Q_SIGNALS:
  void StopRequested();
  void ReloadRequested();

private:
  void ReadPipe();

  QSocketNotifier* notifier = nullptr;
};

} // namespace oleanderledge
