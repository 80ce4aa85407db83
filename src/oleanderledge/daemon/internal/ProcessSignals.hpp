#pragma once

#include <QObject>
#include <QSocketNotifier>

namespace oleanderledge {

/// Turns SIGTERM, SIGINT and SIGHUP into Qt signals. A second stop signal ends the process at once.
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
