#include "oleanderledge/daemon/internal/SettingsWatcher.hpp"

#include <fstream>
#include <sstream>

namespace oleanderledge {

namespace {

/// The file is also checked periodically, because it may change without a SIGHUP. The interval may
/// be long, because the control addresses in the file are needed only when those that the leader
/// named fail.
constexpr std::chrono::milliseconds kCheckInterval(2000);

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace

SettingsWatcher::SettingsWatcher(std::string aPath, DaemonKind aKind, QObject* aParent)
  : QObject(aParent)
  , path(std::move(aPath))
  , kind(aKind)
  , content(ReadFile(this->path))
{
  QObject::connect(&this->timer, &QTimer::timeout, this, &SettingsWatcher::ReloadIfChanged);
  this->timer.start(kCheckInterval);
}

void SettingsWatcher::ReloadIfChanged()
{
  std::string current = ReadFile(this->path);
  if (current == this->content) {
    return;
  }
  const auto settings = ParseSettings(current, this->path, this->kind);
  // A file may be read while it is half written. Keeping the partial content makes the next check
  // see the complete file as a change.
  this->content = std::move(current);
  if (!settings) {
    WriteLog(LogEvent::SettingsRejected,
             "file=" + this->path + " reason=" + settings.error().message);
    return;
  }
  WriteLog(LogEvent::SettingsReloaded, "file=" + this->path);
  Q_EMIT this->Changed(settings.value());
}

} // namespace oleanderledge
