#pragma once

#include <QObject>
#include <QSocketNotifier>

namespace oleanderledge {

/// Turns SIGTERM and SIGINT into a Qt signal. A second signal ends the process at once.
class StopSignals : public QObject
{
  Q_OBJECT

public:
  explicit StopSignals(QObject* aParent);
  ~StopSignals() override;

Q_SIGNALS:
  void StopRequested();

private:
  QSocketNotifier* notifier = nullptr;
};

} // namespace oleanderledge
