#include "oleanderledge/transport/AcceptRetry.hpp"

#include <QTcpServer>
#include <QTimer>

#include <chrono>

namespace oleanderledge {

namespace {

/// Pause after an error. The connections that wait in the kernel would otherwise raise it again in
/// each iteration of the event loop until descriptors are free.
constexpr std::chrono::milliseconds kAcceptRetryInterval(100);

} // namespace

void RetryAcceptingAfterErrors(QTcpServer& aServer)
{
  QObject::connect(&aServer, &QTcpServer::acceptError, &aServer, [&aServer] {
    QTimer::singleShot(kAcceptRetryInterval, &aServer, [&aServer] {
      if (aServer.isListening()) {
        aServer.resumeAccepting();
      }
    });
  });
}

} // namespace oleanderledge
