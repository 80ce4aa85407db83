#include "oleanderledge/owner/internal/BackendSession.hpp"

#include "oleanderledge/wire/wire.hpp"

#include <algorithm>
#include <array>

namespace oleanderledge {

namespace {

constexpr std::string_view kReadOnlySetting = "default_transaction_read_only";

/// A session with more prepared statements is reset, which bounds memory here and on the server.
constexpr std::size_t kMaxPreparedStatements = 500;

/// Command tags of statements that leave no state in the session.
constexpr std::array<std::string_view, 17> kStatelessTags = {
  "SELECT", "INSERT",         "UPDATE",     "DELETE",  "MERGE", "BEGIN", "START TRANSACTION",
  "COMMIT", "ROLLBACK",       "SAVEPOINT",  "RELEASE", "FETCH", "SHOW",  "EXPLAIN",
  "VALUES", "TRUNCATE TABLE", "LOCK TABLE",
};

/// Command tags of statements that cannot write in read-only mode. Others count as writes.
constexpr std::array<std::string_view, 11> kReadTags = {
  "SELECT", "BEGIN", "START TRANSACTION", "COMMIT", "ROLLBACK", "SAVEPOINT", "RELEASE",
  "FETCH",  "SHOW",  "EXPLAIN",           "SET",
};

/// The command tag without row counts: "INSERT 0 1" gives "INSERT".
std::string_view WithoutCounts(std::string_view aTag)
{
  const std::size_t digit = aTag.find_first_of("0123456789");
  std::string_view name = aTag.substr(0, digit);
  while (name.ends_with(' ')) {
    name.remove_suffix(1);
  }
  return name;
}

template<std::size_t Count>
bool ContainsTag(const std::array<std::string_view, Count>& aTags, std::string_view aTag)
{
  return std::find(aTags.begin(), aTags.end(), WithoutCounts(aTag)) != aTags.end();
}

/// Quotes each part of a name such as "app.tenant".
std::string QuoteSettingName(std::string_view aName)
{
  std::string quoted("\"");
  for (const char character : aName) {
    if (character == '.') {
      quoted += "\".\"";
    } else if (character != '"') {
      quoted.push_back(character);
    }
  }
  return quoted + "\"";
}

/// Name of the statement that a Parse message defines.
std::string_view StatementNameOf(std::string_view aBody)
{
  return FieldReader(aBody).ReadString();
}

} // namespace

bool IsWriteTag(std::string_view aTag)
{
  return !ContainsTag(kReadTags, aTag);
}

BackendSession::Settings BackendSession::EffectiveSettings(
  std::span<const SessionSetting> aSettings,
  bool aReadOnly)
{
  Settings wanted;
  for (const SessionSetting& setting : aSettings) {
    wanted[setting.name] = setting.value;
  }
  // `readOnly` of the request already includes the caller's value of this setting.
  wanted.erase(std::string(kReadOnlySetting));
  if (aReadOnly) {
    wanted.emplace(kReadOnlySetting, "on");
  }
  return wanted;
}

std::string BackendSession::SettingsSql(std::span<const SessionSetting> aSettings,
                                        bool aReadOnly) const
{
  const Settings wanted = EffectiveSettings(aSettings, aReadOnly);
  std::string sql;
  for (const auto& [name, value] : this->settings) {
    if (!wanted.contains(name)) {
      sql += "RESET " + QuoteSettingName(name) + ";";
    }
  }
  for (const auto& [name, value] : wanted) {
    const auto held = this->settings.find(name);
    if (held == this->settings.end() || held->second != value) {
      sql += "SET " + QuoteSettingName(name) + " TO " + QuoteLiteral(value) + ";";
    }
  }
  return sql;
}

void BackendSession::NoteSettings(std::span<const SessionSetting> aSettings, bool aReadOnly)
{
  this->settings = EffectiveSettings(aSettings, aReadOnly);
}

std::size_t BackendSession::CountDifferingSettings(std::span<const SessionSetting> aSettings,
                                                   bool aReadOnly) const
{
  const Settings wanted = EffectiveSettings(aSettings, aReadOnly);
  std::size_t difference = 0;
  for (const auto& [name, value] : this->settings) {
    difference += wanted.contains(name) ? 0 : 1;
  }
  for (const auto& [name, value] : wanted) {
    const auto held = this->settings.find(name);
    difference += held == this->settings.end() || held->second != value ? 1 : 0;
  }
  return difference;
}

std::string BackendSession::PrepareMessages(const StatementRequest& aRequest) const
{
  std::string messages;
  for (const PreparedStatement& statement : aRequest.prepared) {
    const auto held = this->prepared.find(statement.name);
    if (held != this->prepared.end() && held->second == statement.parseMessage) {
      continue;
    }
    // Closing a name that does not exist is not an error.
    messages += BuildCloseStatement(statement.name) + statement.parseMessage;
  }
  for (const MessageView& message : SplitMessages(aRequest.payload)) {
    if (message.type != 'P') {
      continue;
    }
    const std::string_view name = StatementNameOf(message.body);
    if (!name.empty() && this->prepared.contains(name)) {
      messages += BuildCloseStatement(name);
    }
  }
  return messages.empty() ? messages : messages + BuildSync();
}

void BackendSession::NotePrepared(const StatementRequest& aRequest)
{
  for (const PreparedStatement& statement : aRequest.prepared) {
    this->prepared[statement.name] = statement.parseMessage;
  }
}

void BackendSession::ForgetPrepared(const StatementRequest& aRequest)
{
  for (const PreparedStatement& statement : aRequest.prepared) {
    this->prepared.erase(statement.name);
  }
  this->needsReset = true;
}

void BackendSession::NotePayload(const StatementRequest& aRequest, bool aFailed)
{
  for (const MessageView& message : SplitMessages(aRequest.payload)) {
    if (message.type == 'Q') {
      // A simple query removes the unnamed statement.
      this->prepared.erase("");
    } else if (message.type == 'P') {
      const std::string name(StatementNameOf(message.body));
      this->prepared[name] = std::string(message.whole);
      // After an error it is not known whether the statement exists.
      this->needsReset = this->needsReset || (aFailed && !name.empty());
    } else if (message.type == 'C' && message.body.starts_with('S')) {
      this->prepared.erase(std::string(StatementNameOf(message.body.substr(1))));
    }
  }
  if (aFailed) {
    this->prepared.erase("");
  }
  this->needsReset = this->needsReset || this->prepared.size() > kMaxPreparedStatements;
}

void BackendSession::NoteCommandTag(std::string_view aTag)
{
  if (!ContainsTag(kStatelessTags, aTag)) {
    this->needsReset = true;
  }
}

void BackendSession::NoteReset()
{
  this->settings.clear();
  this->prepared.clear();
  this->needsReset = false;
}

} // namespace oleanderledge
