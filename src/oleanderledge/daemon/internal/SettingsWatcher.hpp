#pragma once

#include "oleanderledge/settings/settings.hpp"

#include <QObject>
#include <QTimer>

#include <string>

namespace oleanderledge {

/// Reloads a settings file when its content has changed. An invalid file is logged and ignored.
class SettingsWatcher : public QObject
{
  Q_OBJECT

public:
  SettingsWatcher(std::string aPath, DaemonKind aKind, QObject* aParent);

  /// Reads the file and emits Changed() if its content is new and valid.
  void ReloadIfChanged();

Q_SIGNALS:
  void Changed(const oleanderledge::Settings& aSettings);

private:
  std::string path;
  DaemonKind kind;
  std::string content;
  QTimer timer;
};

} // namespace oleanderledge
