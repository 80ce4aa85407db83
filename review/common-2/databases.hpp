// Stand-ins for the databases of one service, the platform's promotion call, and clients.
#pragma once

#include "fleet.hpp"

#include <condition_variable>

namespace review {

/// Removes the first word and the blank after it and returns the word.
inline std::string TakeWord(std::string& aText)
{
  const std::size_t end = aText.find(' ');
  std::string word = aText.substr(0, end);
  aText = end == std::string::npos ? "" : aText.substr(end + 1);
  return word;
}

/// The time of day.
inline long UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

class Database;

/// One commit: the id of its statement and what it writes.
struct Commit
{
  std::string id;
  std::map<std::string, std::string> writes;
  long atMs = 0; // When the primary appended it.
};

/// What the databases of one service share: the log of the primary, of which each database has
/// received a part from the start.
struct Group
{
  std::mutex mutex;
  std::condition_variable changed;
  std::string service = "ledger";
  int syncReplicas = 0;
  int term = 1;
  std::vector<Commit> log;
  std::string primary; // Empty: no database leads.
  std::vector<Database*> databases;
  /// Called when the platform accepts the call that names a database.
  std::function<void()> onNamed;
  /// Called with the database that leads from now on, before the rest of the log is rolled back.
  std::function<void(Database&)> onPromoted;
};

/// A database: serves the wire protocol, registers and repeats its heartbeat.
class Database
{
public:
  /// Decides whether the answer to a statement that ran is lost. Called with its id and its text.
  using LosesAnswer = std::function<bool(const std::string&, const std::string&)>;

  Database(Fleet& aFleet, Group& aGroup, Record& aRecord, int aIndex, int aLimit, long aWorkMs)
    : fleet(aFleet)
    , group(aGroup)
    , record(aRecord)
    , id("i-" + std::to_string(aIndex + 1))
    , ip(aFleet.DatabaseIp(aIndex))
    , port(FreePort())
    , limit(aLimit)
    , workMs(aWorkMs)
  {
    const std::lock_guard lock(this->group.mutex);
    this->group.databases.push_back(this);
    if (this->group.primary.empty()) {
      this->group.primary = this->id;
    }
  }

  ~Database() { this->Stop(); }

  /// `aCopyMs`: how long it takes to receive the log from the primary, if it holds nothing.
  bool Start(long aCopyMs = 0)
  {
    this->copyMs = aCopyMs;
    this->isStopping = false;
    this->isDraining = false;
    this->drainAcknowledgedAt = -1;
    this->sequence = 0;
    this->bornMs = UnixMs();
    this->listener = ListenOn(this->ip, this->port);
    if (this->listener < 0) {
      return false;
    }
    this->threads.emplace_back([this] { this->Accept(); });
    this->threads.emplace_back([this] { this->Beat(); });
    this->threads.emplace_back([this] { this->Receive(); });
    return true;
  }

  void Stop()
  {
    if (this->isStopping.exchange(true)) {
      return;
    }
    this->group.changed.notify_all();
    {
      const std::lock_guard lock(this->mutex);
      for (const auto& [key, socket] : this->connections) {
        socket->Shutdown();
      }
    }
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    for (;;) {
      {
        const std::lock_guard lock(this->mutex);
        if (this->active == 0) {
          break;
        }
      }
      SleepMs(5);
    }
    this->threads.clear();
    if (this->listener >= 0) {
      close(this->listener);
      this->listener = -1;
    }
  }

  /// Says that it leaves. The heartbeats do so from now on.
  void Drain() { this->isDraining = true; }
  /// When a heartbeat that says so was acknowledged; -1: not yet.
  long DrainAcknowledgedAt() const { return this->drainAcknowledgedAt; }

  /// Ends after a drain.
  void Leave()
  {
    for (const std::string& address : this->fleet.ControlPlanes()) {
      if (CallControlPlane(address, "DELETE", "/api/instances/" + this->id, "").status == 200) {
        break;
      }
    }
    this->Stop();
  }

  /// Crashes and starts again under its id. It holds and knows nothing of before, so that it does
  /// not lead; the other databases keep their logs.
  bool StartAgainWithNothing(long aDownMs, long aCopyMs)
  {
    this->Stop();
    {
      const std::lock_guard lock(this->group.mutex);
      this->received = 0;
      if (this->group.primary == this->id) {
        this->group.primary.clear();
      }
    }
    SleepMs(aDownMs);
    return this->Start(aCopyMs);
  }

  /// Commits of the log that this database has received. The mutex of the group is held.
  std::size_t Received() const { return this->received; }
  void SetReceived(std::size_t aCount) { this->received = aCount; }

  const std::string& Id() const { return this->id; }
  std::string Address() const { return this->ip + ":" + std::to_string(this->port); }
  std::size_t Connections()
  {
    const std::lock_guard lock(this->mutex);
    return this->connections.size();
  }

  LosesAnswer losesAnswer;
  /// Links between regions have a delay.
  int region = 0;
  /// While true, nothing passes between this database and the machines of the system; bytes are
  /// held up and pass later.
  std::atomic<bool> isCutOff = false;

private:
  /// One-way delay from the primary. The mutex of the group is held.
  long DelayFromPrimary() const
  {
    constexpr long kBetweenRegionsMs = 12;
    for (const Database* database : this->group.databases) {
      if (database->id == this->group.primary && database->region != this->region) {
        return kBetweenRegionsMs;
      }
    }
    return 0;
  }

  void WaitWhileCutOff() const
  {
    while (this->isCutOff && !this->isStopping) {
      SleepMs(2);
    }
  }

  struct Session
  {
    bool inTransaction = false;
    bool hasFailed = false;
    bool isReadOnly = false;
    std::map<std::string, std::string> writes;
    std::map<std::string, std::pair<bool, std::string>> prepared;
  };

  void Accept()
  {
    while (!this->isStopping) {
      pollfd entry{ this->listener, POLLIN, 0 };
      if (poll(&entry, 1, 50) != 1) {
        continue;
      }
      const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      auto socket = std::make_shared<Socket>(fd);
      const std::lock_guard lock(this->mutex);
      this->connections[socket.get()] = socket;
      ++this->active;
      std::thread([this, socket] {
        this->Serve(*socket);
        const std::lock_guard inner(this->mutex);
        this->connections.erase(socket.get());
        --this->active;
      }).detach();
    }
  }

  void Serve(Socket& aSocket)
  {
    auto first = aSocket.ReadLine(NowMs() + 5000);
    this->WaitWhileCutOff();
    if (!first || TakeWord(*first) != "STARTUP") {
      return;
    }
    const std::string service = TakeWord(*first);
    TakeWord(*first);
    if (service != this->group.service || (!first->empty() && *first != this->id)) {
      aSocket.Send("ERROR MISROUTED " + this->id + "\r\n");
      return;
    }
    if (this->Connections() > static_cast<std::size_t>(this->limit)) {
      aSocket.Send("ERROR OVERLOAD " + this->id + "\r\n");
      return;
    }
    Session session;
    aSocket.Send(this->Ready(session));
    while (!this->isStopping) {
      auto line = aSocket.ReadLine(NowMs() + 3'600'000);
      if (!line || TakeWord(*line) != "QUERY") {
        return;
      }
      this->WaitWhileCutOff();
      const std::string statement = TakeWord(*line);
      const std::string answer = this->Run(session, statement, *line);
      if (answer.empty()) {
        return;
      }
      if (this->losesAnswer && this->losesAnswer(statement, *line)) {
        this->record.Line(this->id + " loses the answer to " + statement + " " + *line);
        continue;
      }
      this->WaitWhileCutOff();
      if (!aSocket.Send(answer)) {
        return;
      }
    }
  }

  std::string Run(Session& aSession, const std::string& aId, std::string aText)
  {
    std::string verb = TakeWord(aText);
    std::string awaited;
    if (verb == "AWAIT") {
      awaited = TakeWord(aText);
      verb = TakeWord(aText);
    }
    if (verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || verb == "COMMIT") {
      SleepMs(this->workMs);
    }
    std::unique_lock lock(this->group.mutex);
    const bool isPrimary = this->group.primary == this->id;
    if (!awaited.empty() && (std::stoi(awaited) > this->group.term ||
                             std::stoul(awaited.substr(awaited.find('.') + 1)) > this->received)) {
      return this->Error(aSession, "LAGGING");
    }
    const bool lostLead = aSession.inTransaction && !aSession.isReadOnly && !isPrimary;
    if (verb == "ROLLBACK") {
      aSession = { false, false, false, {}, std::move(aSession.prepared) };
    } else if (aSession.hasFailed) {
      return this->Error(aSession, "MALFORMED");
    } else if (lostLead && !(verb == "COMMIT" && aSession.writes.empty())) {
      return this->Error(aSession, "READONLY");
    } else if (verb == "BEGIN") {
      if (aText.empty() && !isPrimary) {
        return this->Error(aSession, "READONLY");
      }
      aSession.inTransaction = true;
      aSession.isReadOnly = aText == "READ";
    } else if (verb == "DISCARD") {
      aSession.prepared.clear();
    } else if (verb == "PREPARE") {
      const std::string name = TakeWord(aText);
      const bool writes = TakeWord(aText) == "WRITE";
      aSession.prepared[name] = { writes, aText };
    } else if (verb == "COMMIT") {
      this->record.Line(this->id + " runs " + aId + " COMMIT");
      aSession.inTransaction = false;
      if (!this->Append(aId, aSession.writes, lock)) {
        return {};
      }
      aSession.writes.clear();
    } else if (verb == "STATUS") {
      return std::string("DATAROW ") + (isPrimary ? "primary " : "replica ") +
             std::to_string(this->group.term) + " " + this->Position() + " " +
             std::to_string(this->group.term) + " 0 0 1\r\n" + this->Complete(aSession);
    } else if (verb == "READ" || verb == "WRITE" || verb == "EXECUTE") {
      bool writes = verb == "WRITE";
      if (verb == "EXECUTE") {
        const auto known = aSession.prepared.find(TakeWord(aText));
        if (known == aSession.prepared.end()) {
          return this->Error(aSession, "NOSTMT");
        }
        writes = known->second.first;
      }
      if (writes && !isPrimary) {
        return this->Error(aSession, "READONLY");
      }
      this->record.Line(this->id + " runs " + aId + " " + verb + " " + aText);
      const std::string item = TakeWord(aText);
      if (!writes) {
        return "DATAROW " + this->ValueOf(item) + "\r\n" + this->Complete(aSession);
      }
      if (aSession.inTransaction) {
        aSession.writes[item] = aText;
      } else if (!this->Append(aId, { { item, aText } }, lock)) {
        return {};
      }
    }
    return this->Complete(aSession);
  }

  /// Appends a commit and waits until enough replicas have received it. Returns false if that does
  /// not happen while this database leads; the connection then ends without an answer.
  bool Append(const std::string& aId,
              const std::map<std::string, std::string>& aWrites,
              std::unique_lock<std::mutex>& aLock)
  {
    if (aWrites.empty()) {
      return true;
    }
    this->group.log.push_back({ aId, aWrites, NowMs() });
    this->received = this->group.log.size();
    const std::size_t number = this->received;
    const int term = this->group.term;
    this->group.changed.notify_all();
    const auto isConfirmed = [&] {
      int holders = 0;
      for (const Database* database : this->group.databases) {
        holders +=
          database != this && !database->isStopping && database->received >= number ? 1 : 0;
      }
      return holders >= this->group.syncReplicas;
    };
    while (this->group.term == term && !this->isStopping) {
      if (isConfirmed()) {
        return true;
      }
      this->group.changed.wait_for(aLock, std::chrono::milliseconds(20));
    }
    return false;
  }

  /// Receives the log of the primary: at once, or little by little after a start with nothing.
  void Receive()
  {
    const long startedAt = NowMs();
    while (!this->isStopping) {
      {
        std::unique_lock lock(this->group.mutex);
        const long elapsed = NowMs() - startedAt;
        const std::size_t size = this->group.log.size();
        const bool isReceiving = !this->group.primary.empty() && this->group.primary != this->id;
        if (isReceiving && elapsed >= this->copyMs) {
          while (this->received < size &&
                 this->group.log[this->received].atMs + this->DelayFromPrimary() <= NowMs()) {
            ++this->received;
          }
        } else if (isReceiving) {
          this->received = std::max(this->received,
                                    size * static_cast<std::size_t>(elapsed) /
                                      static_cast<std::size_t>(this->copyMs));
        }
        if (isReceiving) {
          this->group.changed.notify_all();
        }
        this->group.changed.wait_for(lock, std::chrono::milliseconds(5));
      }
      SleepMs(1);
    }
  }

  std::string ValueOf(const std::string& aItem) const
  {
    for (std::size_t index = this->received; index > 0; --index) {
      const auto& writes = this->group.log[index - 1].writes;
      const auto found = writes.find(aItem);
      if (found != writes.end()) {
        return found->second;
      }
    }
    return "-";
  }

  std::string Position() const
  {
    return std::to_string(this->group.term) + "." + std::to_string(this->received);
  }

  std::string Complete(const Session& aSession)
  {
    return "COMPLETE sig." + this->id + "." + std::to_string(++this->signatures) + "\r\n" +
           this->Ready(aSession);
  }

  std::string Error(Session& aSession, const std::string& aCode)
  {
    aSession.hasFailed = aSession.inTransaction;
    return "ERROR " + aCode + " " + this->id + "\r\n" + this->Ready(aSession);
  }

  std::string Ready(const Session& aSession) const
  {
    return std::string("READY ") +
           (aSession.hasFailed ? "E" : (aSession.inTransaction ? "T" : "I")) + " " +
           this->Position() + "\r\n";
  }

  void Beat()
  {
    std::vector<std::string> addresses = this->fleet.ControlPlanes();
    std::size_t next = 0;
    long due = 0;
    bool wasDraining = false;
    bool wasPrimary = false;
    while (!this->isStopping) {
      {
        // A change of the state or the role is reported at once.
        const std::lock_guard lock(this->group.mutex);
        const bool isPrimary = this->group.primary == this->id;
        if (this->isDraining != wasDraining || isPrimary != wasPrimary) {
          wasDraining = this->isDraining;
          wasPrimary = isPrimary;
          due = 0;
        }
      }
      if (NowMs() < due || this->isCutOff) {
        SleepMs(20);
        continue;
      }
      bool isPrimary = false;
      const bool saysDraining = this->isDraining;
      {
        const std::lock_guard lock(this->group.mutex);
        isPrimary = this->group.primary == this->id;
      }
      const std::string body =
        "{\"service\":\"" + this->group.service + "\",\"address\":\"" + this->ip + ":" +
        std::to_string(this->port) +
        "\",\"zone\":\"mora-a\",\"version\":\"v1\",\"capacity\":3,\"state\":\"" +
        std::string(saysDraining ? "draining" : "ready") +
        "\",\"warmup_remaining_ms\":0,\"database_role\":\"" + (isPrimary ? "primary" : "replica") +
        "\",\"born\":" + std::to_string(this->bornMs) +
        ",\"sequence\":" + std::to_string(++this->sequence) + "}";
      const HttpMessage answer =
        CallControlPlane(addresses[next], "PUT", "/api/instances/" + this->id, body);
      if (answer.status >= 200 && answer.status < 300) {
        due = NowMs() + 1200;
        if (saysDraining && this->drainAcknowledgedAt < 0) {
          this->drainAcknowledgedAt = NowMs();
        }
      } else {
        next = (next + 1) % addresses.size();
        due = NowMs() + 100;
      }
    }
  }

  Fleet& fleet;
  Group& group;
  Record& record;
  std::string id;
  std::string ip;
  int port;
  int limit;
  long workMs;
  long copyMs = 0;
  std::size_t received = 0;
  long bornMs = 0;
  long sequence = 0;
  std::atomic<bool> isDraining = false;
  std::atomic<long> drainAcknowledgedAt = -1;
  long signatures = 0;
  int listener = -1;
  std::atomic<bool> isStopping = true;
  std::mutex mutex;
  std::map<Socket*, std::shared_ptr<Socket>> connections;
  int active = 0;
  std::vector<std::thread> threads;
};

/// Databases of further services, which get no requests.
class OtherServices
{
public:
  OtherServices(Fleet& aFleet, Record& aRecord, int aServices, int aLimit)
  {
    for (int service = 2; service <= aServices; ++service) {
      this->groups.push_back(std::make_unique<Group>());
      this->groups.back()->service = "ledger-" + std::to_string(service);
      for (int index = 0; index < 3; ++index) {
        this->databases.push_back(std::make_unique<Database>(
          aFleet, *this->groups.back(), aRecord, service * 10 + index, aLimit, 6));
      }
    }
  }
  bool Start()
  {
    bool isStarted = true;
    for (const auto& database : this->databases) {
      isStarted = database->Start() && isStarted;
    }
    return isStarted;
  }

private:
  std::vector<std::unique_ptr<Group>> groups;
  std::vector<std::unique_ptr<Database>> databases;
};

/// The platform's service that promotes databases. Checks fences.
class PromotionServer
{
public:
  PromotionServer(Fleet& aFleet, Group& aGroup, Record& aRecord)
    : group(aGroup)
    , record(aRecord)
    , listener(ListenOn(aFleet.PromotionIp(), aFleet.PromotionPort()))
    , thread([this] { this->Serve(); })
  {
  }
  ~PromotionServer()
  {
    this->isStopping = true;
    this->thread.join();
    close(this->listener);
  }

private:
  void Serve()
  {
    while (!this->isStopping) {
      if (!this->named.empty() && NowMs() >= this->leadsAt) {
        this->Lead();
      }
      pollfd entry{ this->listener, POLLIN, 0 };
      if (poll(&entry, 1, 20) != 1) {
        continue;
      }
      const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      Socket socket(fd);
      const auto request = ReadHttp(socket, NowMs() + 1000);
      if (!request) {
        continue;
      }
      const int status = this->Promote(*request);
      socket.Send("HTTP/1.1 " + std::to_string(status) +
                  " -\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }
  }

  int Promote(const HttpMessage& aRequest)
  {
    const auto token = aRequest.headers.find("oleanderledge-fencing-token");
    const long fence = token == aRequest.headers.end() ? -1 : std::stol(token->second);
    const std::lock_guard lock(this->group.mutex);
    if (fence < this->lastFence) {
      return 409;
    }
    this->lastFence = fence;
    for (Database* database : this->group.databases) {
      if (aRequest.body.find("\"" + database->Id() + "\"") == std::string::npos) {
        continue;
      }
      this->record.Line("platform: promotion of " + database->Id() + " with fence " +
                        std::to_string(fence));
      if (this->group.primary != database->Id() && this->named != database->Id()) {
        this->named = database->Id();
        this->leadsAt = NowMs() + kPromoteMs;
        if (this->group.onNamed) {
          this->group.onNamed();
        }
      }
      return 200;
    }
    return 409;
  }

  /// The named database leads the next term with what it has received, and nothing more.
  void Lead()
  {
    const std::lock_guard lock(this->group.mutex);
    for (Database* database : this->group.databases) {
      if (database->Id() != this->named) {
        continue;
      }
      this->record.Line("platform: " + this->named + " leads the next term with " +
                        std::to_string(database->Received()) + " of " +
                        std::to_string(this->group.log.size()) + " commits");
      if (this->group.onPromoted) {
        this->group.onPromoted(*database);
      }
      this->group.log.resize(database->Received());
    }
    for (Database* database : this->group.databases) {
      database->SetReceived(std::min(database->Received(), this->group.log.size()));
    }
    this->group.primary = this->named;
    ++this->group.term;
    this->group.changed.notify_all();
    this->named.clear();
  }

  /// The named database leads this long after the call.
  static constexpr long kPromoteMs = 300;

  Group& group;
  Record& record;
  std::string named; // The database that leads next; empty: none.
  long leadsAt = 0;
  long lastFence = 0;
  int listener;
  std::atomic<bool> isStopping = false;
  std::thread thread;
};

struct Answer
{
  std::vector<std::string> rows;
  std::string signature; // Of COMPLETE; empty after an error.
  std::string error;     // Code of ERROR.
  std::string state;     // I, T or E; empty: no complete answer.

  bool IsSuccess() const { return !this->state.empty() && this->error.empty(); }
  std::string Text() const
  {
    return this->state.empty() ? "none" : (this->error.empty() ? "success" : this->error);
  }
};

/// A client's session.
class Client
{
public:
  bool Connect(const std::string& aIp, int aPort, const std::string& aDatabase)
  {
    if (!this->socket.Connect(aIp, aPort, 1000)) {
      return false;
    }
    this->socket.Send("STARTUP " + aDatabase + " u1\r\n");
    const auto line = this->socket.ReadLine(NowMs() + 2000);
    if (!line || line->rfind("READY", 0) != 0) {
      this->socket.Close();
      return false;
    }
    return true;
  }

  Answer Query(const std::string& aId, const std::string& aText, long aTimeoutMs)
  {
    Answer answer;
    this->socket.Send("QUERY " + aId + " " + aText + "\r\n");
    const long deadline = NowMs() + aTimeoutMs;
    for (;;) {
      auto line = this->socket.ReadLine(deadline);
      if (!line) {
        return answer;
      }
      const std::string word = TakeWord(*line);
      if (word == "DATAROW") {
        answer.rows.push_back(*line);
      } else if (word == "COMPLETE") {
        answer.signature = *line;
      } else if (word == "ERROR") {
        answer.error = TakeWord(*line);
      } else if (word == "READY") {
        answer.state = TakeWord(*line);
        return answer;
      }
    }
  }

  void Close() { this->socket.Close(); }
  bool IsOpen() const { return this->socket.IsOpen(); }
  Socket& Raw() { return this->socket; }

private:
  Socket socket;
};

/// A new id, as clients use one for each statement.
inline std::string NewId()
{
  static std::atomic<long> last = 0;
  char text[24];
  std::snprintf(text, sizeof(text), "%016lx", 0x5c0e7a2100000000L + ++last);
  return text;
}

} // namespace review
