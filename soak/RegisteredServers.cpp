#include "soak/RegisteredServers.hpp"

#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkReply>

#include <algorithm>

namespace oleanderledge::soak {

namespace {

constexpr std::chrono::milliseconds kRegistrationInterval(300);
/// The server that a promotion call names leads this long after the call was answered.
constexpr std::chrono::milliseconds kPromotionTime(300);
constexpr int kCallTimeoutMs = 1000;
constexpr int kHttpOk = 200;
constexpr int kHttpRedirect = 307;
constexpr int kHttpConflict = 409;
constexpr std::chrono::milliseconds kConfigurationRetry(200);

constexpr char kConfiguration[] =
  R"({"version":1,"routes":[{"name":"r","host":"orders","path_prefix":"/","route_kind":"primary",)"
  R"("timeout_ms":800,"target_latency_ms":800,"priority":0,"service":"ledger"}],)"
  R"("services":[{"name":"ledger","connection_limit":24}],"limits":{"transaction_idle_ms":3000}})";

} // namespace

RegisteredServers::RegisteredServers(ViolationLog& aViolations)
  : violations(aViolations)
{
  this->group.service = "ledger";
  this->promotion.route(
    "/promotion", QHttpServerRequest::Method::Post, [this](const QHttpServerRequest& aRequest) {
      const int status = this->Promote(aRequest);
      return QHttpServerResponse(static_cast<QHttpServerResponse::StatusCode>(status));
    });
  this->promotionAddress =
    "127.0.0.1:" + std::to_string(this->promotion.listen(QHostAddress::LocalHost, 0));
  QObject::connect(
    &this->registrationTimer, &QTimer::timeout, this, &RegisteredServers::RegisterAll);
  this->registrationTimer.start(kRegistrationInterval);
}

void RegisteredServers::SetControlAddresses(std::vector<std::string> aAddresses)
{
  this->controls = std::move(aAddresses);
}

void RegisteredServers::Configure()
{
  const std::string& address = this->controls[this->configurationTries++ % this->controls.size()];
  this->Put("http://" + address + "/api/configuration",
            kConfiguration,
            [this](int aStatus, const std::string& /*aLocation*/) {
              if (aStatus != kHttpOk) {
                QTimer::singleShot(kConfigurationRetry, this, &RegisteredServers::Configure);
              }
            });
}

void RegisteredServers::Add()
{
  auto server = std::make_unique<Server>();
  server->name = "i-" + std::to_string(this->servers.size() + 1);
  server->startedMs = static_cast<std::int64_t>(this->servers.size()) + 1;
  server->database = std::make_unique<standin::PlatformDatabase>(this->group, server->name);
  server->address = server->database->Listen();
  if (this->servers.empty()) {
    this->group.primary = server->name;
  }
  server->database->onNewWork = [this, added = server.get()](const std::string& aId) {
    if (added->drainAcknowledgedAt && this->onWorkAtDrainingServer) {
      this->onWorkAtDrainingServer(aId, MonotonicNow() - *added->drainAcknowledgedAt);
    }
  };
  this->servers.push_back(std::move(server));
  this->Register(*this->servers.back());
}

void RegisteredServers::Drain(std::size_t aIndex, std::chrono::milliseconds aServesFor)
{
  Server& server = *this->servers[aIndex];
  server.isDraining = true;
  server.servesFor = aServesFor;
  this->Register(server);
}

std::size_t RegisteredServers::LiveCount() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->servers, [](const auto& aEach) { return !aEach->hasEnded; }));
}

std::size_t RegisteredServers::UsableCount() const
{
  return this->UsableIndexes().size();
}

std::vector<std::size_t> RegisteredServers::UsableIndexes() const
{
  std::vector<std::size_t> usable;
  for (std::size_t index = 0; index < this->servers.size(); ++index) {
    if (!this->servers[index]->isDraining) {
      usable.push_back(index);
    }
  }
  return usable;
}

void RegisteredServers::RegisterAll()
{
  for (const auto& server : this->servers) {
    this->Register(*server);
  }
}

void RegisteredServers::Register(Server& aServer)
{
  if (aServer.hasEnded || aServer.isCallPending) {
    return;
  }
  aServer.isCallPending = true;
  const bool isDraining = aServer.isDraining;
  const QJsonObject body{ { "service", "ledger" },
                          { "address", QString::fromStdString(aServer.address) },
                          { "zone", "near" },
                          { "version", "v1" },
                          { "capacity", 4 },
                          { "state", isDraining ? "draining" : "ready" },
                          { "warmup_remaining_ms", 0 },
                          { "database_role",
                            this->group.primary == aServer.name ? "primary" : "replica" },
                          { "born", static_cast<qint64>(aServer.startedMs) },
                          { "sequence", static_cast<qint64>(++aServer.sequence) } };
  this->Put("http://" + this->controls[aServer.control] + "/api/instances/" + aServer.name,
            QJsonDocument(body).toJson(),
            [this, &aServer, isDraining](int aStatus, const std::string& aLocation) {
              aServer.isCallPending = false;
              if (aStatus != kHttpOk) {
                const auto leader = std::ranges::find(this->controls, aLocation);
                aServer.control = leader != this->controls.end()
                                    ? static_cast<std::size_t>(leader - this->controls.begin())
                                    : (aServer.control + 1) % this->controls.size();
                if (leader != this->controls.end()) {
                  this->Register(aServer);
                }
                return;
              }
              if (isDraining && !aServer.drainAcknowledgedAt) {
                aServer.drainAcknowledgedAt = MonotonicNow();
                QTimer::singleShot(
                  aServer.servesFor, this, [this, &aServer] { this->End(aServer); });
              }
            });
}

void RegisteredServers::End(Server& aServer)
{
  aServer.hasEnded = true;
  QNetworkRequest request(QUrl(QString::fromStdString("http://" + this->controls[aServer.control] +
                                                      "/api/instances/" + aServer.name)));
  request.setTransferTimeout(kCallTimeoutMs);
  QNetworkReply* reply = this->network.deleteResource(request);
  QObject::connect(reply, &QNetworkReply::finished, reply, &QObject::deleteLater);
  aServer.database->Crash();
}

void RegisteredServers::Put(const std::string& aUrl, const QByteArray& aBody, Answered aDone)
{
  QNetworkRequest request(QUrl(QString::fromStdString(aUrl)));
  request.setTransferTimeout(kCallTimeoutMs);
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  QNetworkReply* reply = this->network.put(request, aBody);
  QObject::connect(reply, &QNetworkReply::finished, this, [reply, done = std::move(aDone)] {
    reply->deleteLater();
    const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    const QUrl target(QString::fromUtf8(reply->rawHeader("Location")));
    done(status,
         status == kHttpRedirect ? target.host().toStdString() + ":" + std::to_string(target.port())
                                 : std::string{});
  });
}

void RegisteredServers::Lead(const Server& aServer)
{
  // Another server was named meanwhile.
  if (this->namedPrimary != aServer.name) {
    return;
  }
  this->namedPrimary.clear();
  if (aServer.hasEnded) {
    return;
  }
  this->group.primary = aServer.name;
  ++this->group.term;
  this->RegisterAll();
}

int RegisteredServers::Promote(const QHttpServerRequest& aRequest)
{
  const QJsonObject body = QJsonDocument::fromJson(aRequest.body()).object();
  const std::string backend = body.value("instance_id").toString().toStdString();
  const std::uint64_t fence = aRequest.value("Oleanderledge-Fencing-Token").toULongLong();
  const std::string holder = aRequest.value("Oleanderledge-Lease-Holder").toStdString();
  if (fence < this->lastFence) {
    return kHttpConflict;
  }
  if (fence == this->lastFence && holder != this->lastHolder && fence != 0) {
    this->violations.Add("two holders promote with the fence " + std::to_string(fence));
  }
  this->lastFence = fence;
  this->lastHolder = holder;
  const auto found = std::ranges::find_if(this->servers, [&backend](const auto& aEach) {
    return aEach->name == backend && !aEach->hasEnded;
  });
  if (found == this->servers.end()) {
    return kHttpConflict;
  }
  if (this->group.primary != backend && this->namedPrimary != backend) {
    this->namedPrimary = backend;
    QTimer::singleShot(
      kPromotionTime, this, [this, server = found->get()] { this->Lead(*server); });
  }
  return kHttpOk;
}

} // namespace oleanderledge::soak
