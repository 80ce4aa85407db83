#include "oleanderledge/daemon/internal/SettingsWatcher.hpp"

#include <fstream>
#include <sstream>

namespace oleanderledge {

namespace {

/// The file may change without a signal; its addresses are needed only when others fail.
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
  QObject::connect(&this->timer, &QTimer::timeout, this, &SettingsWatcher::Check);
  this->timer.start(kCheckInterval);
}

void SettingsWatcher::Check()
{
  std::string present = ReadFile(this->path);
  if (present == this->content) {
    return;
  }
  const auto settings = ParseSettings(present, this->path, this->kind);
  // A file that is being written may be read in half; it is read again when it changes further.
  this->content = std::move(present);
  if (!settings) {
    WriteLog(LogEvent::SettingsRejected,
             "file=" + this->path + " reason=" + settings.error().message);
    return;
  }
  WriteLog(LogEvent::SettingsReloaded, "file=" + this->path);
  Q_EMIT this->Changed(settings.value());
}

} // namespace oleanderledge
