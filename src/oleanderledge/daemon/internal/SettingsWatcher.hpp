#pragma once

#include "oleanderledge/settings/settings.hpp"

#include <QObject>
#include <QTimer>

#include <string>

namespace oleanderledge {

/// Reads a settings file again when it has changed. A file that is not valid is logged and ignored.
class SettingsWatcher : public QObject
{
  Q_OBJECT

public:
  SettingsWatcher(std::string aPath, DaemonKind aKind, QObject* aParent);

  /// Looks for a change now, as on SIGHUP.
  void Check();

Q_SIGNALS:
  void Changed(const oleanderledge::Settings& aSettings);

private:
  std::string path;
  DaemonKind kind;
  std::string content;
  QTimer timer;
};

} // namespace oleanderledge
