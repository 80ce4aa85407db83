#pragma once

#include "AnnouncementSender.hpp"
#include "SlotContext.hpp"

#include <QTimer>

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderledge::stand_in {

/// Periodically sends the state of one slot to the control instances.
class Announcer : public QObject
{
  Q_OBJECT

public:
  Announcer(SlotContext& aContext, QObject* aParent);

  /// `aClientAddress` is the client address that the announcements contain.
  void Start(const std::string& aClientAddress);
  void Stop();

private:
  void Announce();
  QByteArray BuildAnnouncement();

  SlotContext& context;
  std::string clientAddress;
  std::uint64_t incarnation;
  std::uint64_t sequence = 0;
  std::vector<AnnouncementSender*> senders;
  QTimer timer;
};

} // namespace oleanderledge::stand_in
