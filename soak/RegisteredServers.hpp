#pragma once

#include "oleanderledge/base/base.hpp"
#include "soak/ViolationLog.hpp"
#include "standin/platform/PlatformDatabase.hpp"

#include <QHttpServer>
#include <QNetworkAccessManager>
#include <QTimer>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleanderledge::soak {

/// Stand-in servers of one service that register with control instances, drain and end, and the
/// service that promotes them.
class RegisteredServers : public QObject
{
  Q_OBJECT

public:
  explicit RegisteredServers(ViolationLog& aViolations);

  /// Address of the promotion service.
  const std::string& PromotionAddress() const { return this->promotionAddress; }
  void SetControlAddresses(std::vector<std::string> aAddresses);
  /// Sends the configuration until a control instance has acknowledged it.
  void Configure();

  /// Starts a server, which registers as replica, or as primary if it is the first one.
  void Add();
  /// Lets a server announce its drain, and end `aServesFor` after the acknowledgement.
  void Drain(std::size_t aIndex, std::chrono::milliseconds aServesFor);
  std::size_t LiveCount() const;   ///< Servers that have not ended.
  std::size_t UsableCount() const; ///< Servers that neither drain nor have ended.
  std::vector<std::size_t> UsableIndexes() const;

  /// Called for the id of each new work that reaches a server, with the time since the drain of the
  /// server was acknowledged.
  std::function<void(const std::string& aId, Duration aSinceDrain)> onWorkAtDrainingServer;

  standin::PlatformGroup group;

private:
  struct Server
  {
    std::string name;
    std::string address;
    std::unique_ptr<standin::PlatformDatabase> database;
    std::size_t control = 0; ///< Control instance for the next registration.
    std::uint64_t sequence = 0;
    std::int64_t startedMs = 0;
    bool isDraining = false;
    bool hasEnded = false;
    bool isCallPending = false;
    std::optional<Instant> drainAcknowledgedAt;
    std::chrono::milliseconds servesFor{ 0 };
  };
  using Answered = std::function<void(int aStatus, const std::string& aLocation)>;

  void RegisterAll();
  void Register(Server& aServer);
  void End(Server& aServer);
  void Put(const std::string& aUrl, const QByteArray& aBody, Answered aDone);
  /// Handles a promotion call and returns the status of the answer.
  int Promote(const QHttpServerRequest& aRequest);
  /// The server leads, unless it has ended or another one was named after it.
  void Lead(const Server& aServer);

  ViolationLog& violations;
  QNetworkAccessManager network;
  QHttpServer promotion;
  std::string promotionAddress;
  std::vector<std::string> controls;
  std::vector<std::unique_ptr<Server>> servers;
  QTimer registrationTimer;
  std::uint64_t lastFence = 0;
  std::string lastHolder;
  std::string namedPrimary; ///< Named by a promotion call and not leading yet; empty: none.
  std::size_t configurationTries = 0;
};

} // namespace oleanderledge::soak
