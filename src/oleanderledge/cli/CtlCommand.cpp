#include "oleanderledge/base/base.hpp"
#include "oleanderledge/cli/Commands.hpp"
#include "oleanderledge/cli/internal/CommandLine.hpp"
#include "oleanderledge/cli/internal/HttpClient.hpp"
#include "oleanderledge/cli/internal/StatusScreen.hpp"

#include <QElapsedTimer>
#include <QJsonDocument>
#include <QThread>
#include <QUuid>

#include <charconv>
#include <cstdio>
#include <optional>

namespace oleanderledge {

namespace {

constexpr qint64 kInForceTimeoutMs = 10'000;
constexpr unsigned long kInForcePollMs = 50;
constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;

bool IsJsonOutput()
{
  return FLAGS_output == "json";
}

void Print(const std::string& aText)
{
  std::fputs(aText.c_str(), stdout);
}

std::string ToJsonLine(const QJsonObject& aObject)
{
  return QJsonDocument(aObject).toJson(QJsonDocument::Compact).toStdString() + "\n";
}

/// Parses a duration like 50ms, 10s or 2m. Returns milliseconds, or nothing if the text is
/// malformed or not positive.
std::optional<std::int64_t> ParseDuration(std::string_view aText)
{
  std::int64_t number = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  const std::string_view unit(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
  if (parsed.ec != std::errc{} || number <= 0) {
    return std::nullopt;
  }
  if (unit == "ms") {
    return number;
  }
  if (unit == "s") {
    return number * 1000;
  }
  if (unit == "m") {
    return number * 60'000;
  }
  return std::nullopt;
}

ExitCode ReportUnreachable()
{
  return ReportFailure(ExitCode::Unreachable,
                       "no instance answers at " + FLAGS_address,
                       "Give the HTTP address of any live proxy or control instance with "
                       "--address; /healthz of an instance shows whether it runs.");
}

ExitCode ReportRefusal(const HttpAnswer& aAnswer)
{
  const std::string code = std::to_string(aAnswer.body["code"].toInteger());
  const std::string message =
    "refused [" + code + "]: " + aAnswer.body["message"].toString().toStdString();
  if (aAnswer.status == kHttpConflict) {
    if (IsJsonOutput()) {
      Print(ToJsonLine(aAnswer.body));
    } else {
      Print(FormatClasses(aAnswer.body));
    }
    return ReportFailure(ExitCode::Conflict,
                         message,
                         "The present configuration is shown above. Check it and send the change "
                         "again.");
  }
  return ReportFailure(
    ExitCode::Failed, message, "docs/result-codes.md explains code " + code + ".");
}

/// Requests a path with GET and prints the answer.
ExitCode ShowAnswer(HttpClient& aClient,
                    const std::string& aPath,
                    std::string (*aFormat)(const QJsonObject&))
{
  const auto answer = aClient.Get(aPath);
  if (!answer) {
    return ReportUnreachable();
  }
  if (answer.value().status != kHttpOk) {
    return ReportRefusal(answer.value());
  }
  Print(IsJsonOutput() ? ToJsonLine(answer.value().body) : aFormat(answer.value().body));
  return ExitCode::Ok;
}

ExitCode ShowStatus(HttpClient& aClient)
{
  const auto status = aClient.Get("/v1/status");
  const auto classes = aClient.Get("/v1/classes");
  if (!status || !classes) {
    return ReportUnreachable();
  }
  if (status.value().status != kHttpOk) {
    return ReportRefusal(status.value());
  }
  Print(IsJsonOutput() ? ToJsonLine(status.value().body)
                       : FormatStatus(status.value().body, classes.value().body, IsTerminal()));
  return ExitCode::Ok;
}

/// Waits until a version is in force on every live proxy and prints how long that took. Fails after
/// kInForceTimeoutMs.
ExitCode WaitUntilInForce(HttpClient& aClient, std::int64_t aVersion)
{
  QElapsedTimer elapsed;
  elapsed.start();
  QJsonObject inForce;
  while (elapsed.elapsed() < kInForceTimeoutMs) {
    const auto status = aClient.Get("/v1/status?version=" + std::to_string(aVersion));
    if (status && status.value().status == kHttpOk) {
      inForce = status.value().body["in_force"].toObject();
      if (inForce["everywhere"].toBool()) {
        if (!IsJsonOutput()) {
          Print("in force on every live proxy after " + std::to_string(elapsed.elapsed()) +
                " ms\n");
        }
        return ExitCode::Ok;
      }
    }
    QThread::msleep(kInForcePollMs);
  }
  return ReportFailure(ExitCode::Failed,
                       "accepted, but not yet in force everywhere; behind: " + ToJsonLine(inForce),
                       "The change stays accepted. oleanderledge ctl status shows which proxies "
                       "are behind.");
}

ExitCode ChangeClass(HttpClient& aClient, Arguments aArguments)
{
  const std::string& action = aArguments[1];
  const bool needsTarget = action != "delete";
  const auto target =
    needsTarget && aArguments.size() == 4 ? ParseDuration(aArguments[3]) : std::nullopt;
  if (aArguments.size() != (needsTarget ? 4U : 3U) || (needsTarget && !target)) {
    return ReportFailure(ExitCode::Usage,
                         "class " + action + " needs a name" +
                           (needsTarget ? " and a target like 50ms, 10s or 2m" : ""),
                         "See oleanderledge ctl --help.");
  }
  std::int64_t baseVersion = FLAGS_base_version;
  if (baseVersion < 0) {
    const auto classes = aClient.Get("/v1/classes");
    if (!classes || classes.value().status != kHttpOk) {
      return classes ? ReportRefusal(classes.value()) : ReportUnreachable();
    }
    baseVersion = classes.value().body["version"].toInteger();
  }
  const std::string requestId = FLAGS_request_id.empty()
                                  ? QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString()
                                  : FLAGS_request_id;
  const auto answer = aClient.Post("/v1/classes",
                                   { { "action", QString::fromStdString(action) },
                                     { "name", QString::fromStdString(aArguments[2]) },
                                     { "target_ms", static_cast<qint64>(target.value_or(0)) },
                                     { "version", static_cast<qint64>(baseVersion) },
                                     { "request_id", QString::fromStdString(requestId) } });
  if (!answer) {
    return ReportFailure(ExitCode::Unreachable,
                         "no answer; the change may have been accepted",
                         "Send it again with --request_id=" + requestId + " --base_version=" +
                           std::to_string(baseVersion) + "; it is applied once.");
  }
  if (answer.value().status != kHttpOk) {
    return ReportRefusal(answer.value());
  }
  const std::int64_t version = answer.value().body["version"].toInteger();
  Print(IsJsonOutput() ? ToJsonLine(answer.value().body)
                       : "accepted as version " + std::to_string(version) + "\n");
  return WaitUntilInForce(aClient, version);
}

} // namespace

ExitCode RunCtl(Arguments aArguments)
{
  if (FLAGS_output != "text" && FLAGS_output != "json") {
    return ReportFailure(ExitCode::Usage, "--output is text or json", "");
  }
  HttpClient client(FLAGS_address);
  if (aArguments.size() == 1 && aArguments[0] == "status") {
    return ShowStatus(client);
  }
  if (aArguments.size() == 2 && aArguments[0] == "config" && aArguments[1] == "history") {
    return ShowAnswer(client, "/v1/config/history", &FormatHistory);
  }
  if (aArguments.size() >= 2 && aArguments[0] == "class") {
    if (aArguments[1] == "list") {
      return ShowAnswer(client, "/v1/classes", &FormatClasses);
    }
    if (aArguments[1] == "create" || aArguments[1] == "set" || aArguments[1] == "delete") {
      return ChangeClass(client, aArguments);
    }
  }
  return ReportFailure(
    ExitCode::Usage, "unknown ctl command", "See oleanderledge ctl --help for the commands.");
}

} // namespace oleanderledge
