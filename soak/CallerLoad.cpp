#include "soak/CallerLoad.hpp"

#include <QHostAddress>

#include <algorithm>
#include <array>

namespace oleanderledge::soak {

namespace {

/// A caller gives up an answer after this time; the longest statement timeout is 0.8 s.
constexpr std::chrono::milliseconds kAnswerLimit(4000);
constexpr int kLongestPauseMs = 60;
/// Pauses before statements of a transaction: long enough for a drain deadline to pass.
constexpr int kLongestPauseInTransactionMs = 900;
constexpr int kLongestReconnectMs = 300;
/// Answers that promise that nothing of the operation is kept.
constexpr std::array<std::string_view, 7> kPromises{ "UNAVAIL",   "ABORTED",  "LAGGING", "READONLY",
                                                     "MISROUTED", "OVERLOAD", "NODB" };

std::string WordAt(const std::string& aText, std::size_t aStart)
{
  return aText.substr(aStart, aText.find_first_of(" \r\n", aStart) - aStart);
}

} // namespace

CallerLoad::CallerLoad(std::size_t aNumber,
                       std::vector<std::string> aProxies,
                       const standin::PlatformGroup& aGroup,
                       std::uint32_t aSeed,
                       ViolationLog& aViolations)
  : number(aNumber)
  , proxies(std::move(aProxies))
  , group(aGroup)
  , random(aSeed)
  , violations(aViolations)
  , item("c" + std::to_string(aNumber))
{
  this->answerTimer.setSingleShot(true);
  QObject::connect(&this->answerTimer, &QTimer::timeout, this, [this] { this->socket.abort(); });
  QObject::connect(&this->socket, &QTcpSocket::connected, this, [this] {
    this->socket.write("STARTUP orders soak\r\n");
  });
  QObject::connect(&this->socket, &QTcpSocket::readyRead, this, &CallerLoad::ReadAvailable);
  QObject::connect(&this->socket, &QTcpSocket::disconnected, this, &CallerLoad::HandleClosed);
  QObject::connect(&this->socket, &QTcpSocket::errorOccurred, this, [this] {
    if (this->socket.state() != QAbstractSocket::ConnectedState) {
      this->HandleClosed();
    }
  });
  this->Schedule(&CallerLoad::Connect, kLongestReconnectMs);
}

void CallerLoad::Stop()
{
  this->isStopped = true;
  this->answerTimer.stop();
  this->socket.disconnect(this);
  this->socket.abort();
}

void CallerLoad::Schedule(void (CallerLoad::*aStep)(), int aLongestMs)
{
  QTimer::singleShot(this->Draw(aLongestMs), this, [this, aStep, ofSession = this->session] {
    if (!this->isStopped && this->session == ofSession) {
      (this->*aStep)();
    }
  });
}

void CallerLoad::Connect()
{
  this->proxy = static_cast<std::size_t>(this->Draw(static_cast<int>(this->proxies.size())));
  this->buffer.clear();
  this->isStarted = false;
  this->isAwaiting = true;
  const std::string& address = this->proxies[this->proxy];
  const std::size_t colon = address.find(':');
  this->socket.connectToHost(QHostAddress(QString::fromStdString(address.substr(0, colon))),
                             static_cast<quint16>(std::stoi(address.substr(colon + 1))));
  this->answerTimer.start(kAnswerLimit);
}

void CallerLoad::HandleClosed()
{
  if (!this->isAwaiting && !this->isStarted) {
    return;
  }
  this->answerTimer.stop();
  if (this->isStarted && this->isAwaiting) {
    ++this->totals.uncertain;
  }
  this->isAwaiting = false;
  this->isStarted = false;
  ++this->session;
  this->operation.clear();
  this->Schedule(&CallerLoad::Connect, kLongestReconnectMs);
}

void CallerLoad::ReadAvailable()
{
  this->buffer += this->socket.readAll().toStdString();
  const std::size_t ready = this->buffer.rfind("READY ");
  const bool isWhole = ready != std::string::npos && this->buffer.ends_with("\r\n") &&
                       (ready == 0 || this->buffer[ready - 1] == '\n');
  if (!isWhole) {
    return;
  }
  const std::string answer = std::exchange(this->buffer, {});
  if (!this->isAwaiting) {
    this->violations.Add(this->item + " got an answer without a request: " + answer);
    return;
  }
  this->answerTimer.stop();
  this->isAwaiting = false;
  if (!this->isStarted) {
    this->isStarted = true;
    this->Schedule(&CallerLoad::StartOperation, kLongestPauseMs);
    return;
  }
  this->HandleAnswer(answer);
}

void CallerLoad::StartOperation()
{
  const std::string read = "READ " + this->item;
  this->position = 0;
  switch (this->Draw(4)) {
    case 0:
      this->operation = { read };
      break;
    case 1:
      this->operation = { "BEGIN", read, "COMMIT" };
      break;
    case 2:
      this->operation = { "WRITE " + this->item + " " + this->ValueOf(++this->attempted) };
      break;
    default:
      this->operation = { "BEGIN",
                          "WRITE " + this->item + " " + this->ValueOf(++this->attempted),
                          "COMMIT" };
  }
  this->SendNext();
}

void CallerLoad::SendNext()
{
  const std::string& text = this->operation[this->position];
  this->currentId =
    "p" + std::to_string(this->proxy) + this->item + "n" + std::to_string(++this->statementCount);
  if (text == "COMMIT" || (this->operation.size() == 1 && text.starts_with("WRITE "))) {
    this->effects.push_back(this->currentId);
  }
  this->isAwaiting = true;
  const std::string line = "QUERY " + this->currentId + " " + text + "\r\n";
  this->socket.write(line.data(), static_cast<qint64>(line.size()));
  this->answerTimer.start(kAnswerLimit);
}

void CallerLoad::HandleAnswer(const std::string& aAnswer)
{
  if (aAnswer.starts_with("ERROR ")) {
    this->HandleError(WordAt(aAnswer, std::string_view("ERROR ").size()));
    return;
  }
  if (this->operation.empty()) {
    // The rollback of a failed transaction.
    this->Schedule(&CallerLoad::StartOperation, kLongestPauseMs);
    return;
  }
  if (this->operation[this->position].starts_with("READ ")) {
    this->CheckRead(aAnswer);
  }
  if (++this->position < this->operation.size()) {
    this->Schedule(&CallerLoad::SendNext, kLongestPauseInTransactionMs);
    return;
  }
  this->FinishOperation();
}

void CallerLoad::FinishOperation()
{
  ++this->totals.succeeded;
  const bool hasWritten = std::ranges::any_of(
    this->operation, [](const std::string& aText) { return aText.starts_with("WRITE "); });
  if (hasWritten) {
    this->acknowledged = this->attempted;
    this->lastWriteAt = MonotonicNow();
  }
  this->operation.clear();
  this->Schedule(&CallerLoad::StartOperation, kLongestPauseMs);
}

void CallerLoad::HandleError(const std::string& aCode)
{
  const bool isPromise = std::ranges::find(kPromises, aCode) != kPromises.end();
  ++(isPromise ? this->totals.refused : this->totals.uncertain);
  const auto held = this->group.items.find(this->item);
  if (isPromise && this->attempted > this->acknowledged && held != this->group.items.end() &&
      held->second == this->ValueOf(this->attempted)) {
    this->violations.Add(this->currentId + " was refused with " + aCode +
                         ", but its write is kept");
  }
  const bool isOpen = this->operation.size() > 1 && this->position + 1 < this->operation.size();
  this->operation.clear();
  if (!isOpen) {
    this->Schedule(&CallerLoad::StartOperation, kLongestPauseMs);
    return;
  }
  this->isAwaiting = true;
  this->currentId = "rollback";
  this->socket.write("QUERY rollback ROLLBACK\r\n");
  this->answerTimer.start(kAnswerLimit);
}

void CallerLoad::CheckRead(const std::string& aRow)
{
  const std::string value = WordAt(aRow, std::string_view("DATAROW ").size());
  const std::string prefix = this->ValueOf(0).substr(0, this->item.size() + 1);
  const bool isOwn = value.starts_with(prefix);
  const std::uint64_t read = isOwn ? std::stoull(value.substr(prefix.size())) : 0;
  if ((!value.empty() && !isOwn) || read < this->acknowledged || read > this->attempted) {
    this->violations.Add(this->currentId + " read '" + value + "', acknowledged is " +
                         std::to_string(this->acknowledged) + ", attempted " +
                         std::to_string(this->attempted));
  }
}

void CallerLoad::CheckRunsOnce()
{
  for (const std::string& id : this->effects) {
    const auto runs =
      std::ranges::count(this->group.runs, id, [](const auto& aRun) { return aRun.first; });
    if (runs > 1) {
      this->violations.Add(id + " ran " + std::to_string(runs) + " times");
    }
  }
}

std::size_t CallerLoad::ProxyOf(const std::string& aId)
{
  return aId.size() > 1 && aId[0] == 'p' ? static_cast<std::size_t>(aId[1] - '0') : 0;
}

std::string CallerLoad::ValueOf(std::uint64_t aNumber) const
{
  return this->item + "v" + std::to_string(aNumber);
}

} // namespace oleanderledge::soak
