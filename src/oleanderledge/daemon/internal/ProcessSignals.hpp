#pragma once

#include <QObject>
#include <QSocketNotifier>

namespace oleanderledge {

/// Emits a Qt signal for SIGTERM, SIGINT and SIGHUP. A second SIGTERM or SIGINT ends the process at
/// once with exit code 128 + signal number.
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
