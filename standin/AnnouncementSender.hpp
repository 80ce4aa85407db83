#pragma once

#include "SocketAddress.hpp"

#include "oleanderledge/base/base.hpp"

#include <QByteArray>
#include <QObject>
#include <QTcpSocket>

#include <string>

namespace oleanderledge::stand_in {

/// Posts JSON to `/v1/announcements` of one address over one kept connection. A post is skipped
/// while the response to the previous one is outstanding.
class AnnouncementSender : public QObject
{
  Q_OBJECT

public:
  AnnouncementSender(const std::string& aAddress, QObject* aParent);

  void Post(const QByteArray& aJson);
  void Stop();

private:
  void WritePost(const QByteArray& aJson);

  SocketAddress address;
  QTcpSocket socket;
  QByteArray queuedJson; ///< Body of the request that is sent once connected.
  bool awaitsResponse = false;
  Instant sentAt{};
};

} // namespace oleanderledge::stand_in
