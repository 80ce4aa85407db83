#include "SlotStore.hpp"

#include "SqlText.hpp"

#include <utility>

namespace oleanderledge::stand_in {

namespace {

/// Number of records that the log keeps. A replica that is further behind gets a full copy.
constexpr std::size_t kMaxLogRecords = 100'000;

} // namespace

SlotStore::SlotStore(QObject* aParent)
  : QObject(aParent)
{
}

void SlotStore::BeginWrite()
{
  this->pending = {};
  this->working.Execute("BEGIN");
}

void SlotStore::RecordWrite(std::string aSql, Parameters aParameters)
{
  this->pending.statements.emplace_back(std::move(aSql), std::move(aParameters));
}

std::optional<SqlError> SlotStore::CommitWrite()
{
  // Deferred constraints are checked at commit and can fail here.
  if (auto result = this->working.Execute("COMMIT"); result.error) {
    this->RollbackWrite();
    return result.error;
  }
  if (this->pending.statements.empty()) {
    return std::nullopt;
  }
  LogRecord record = std::exchange(this->pending, {});
  record.position = this->received + 1;
  record.term = this->term;
  this->Apply(this->committed, record);
  this->received = record.position;
  this->applied = record.position;
  this->log.push_back(record);
  this->TrimLog();
  Q_EMIT this->RecordCommitted(record);
  return std::nullopt;
}

void SlotStore::RollbackWrite()
{
  this->pending = {};
  this->working.Execute("ROLLBACK");
}

void SlotStore::Bootstrap(const std::string& aSchema)
{
  this->primary = true;
  this->term = 1;
  const auto statements = SplitStatements(aSchema);
  if (!statements.empty()) {
    this->BeginWrite();
    for (const std::string& sql : statements) {
      this->working.Execute(sql);
      this->RecordWrite(sql, {});
    }
    this->CommitWrite();
  }
  Q_EMIT this->RoleChanged();
}

std::optional<SqlError> SlotStore::Promote(std::uint64_t aTerm)
{
  if (this->primary && this->term == aTerm) {
    return std::nullopt;
  }
  if (aTerm <= this->term) {
    return SqlError{ "55000",
                     "term " + std::to_string(aTerm) + " is not higher than the current term " +
                       std::to_string(this->term) };
  }
  this->ApplyUpTo(this->received);
  this->primary = true;
  this->term = aTerm;
  Q_EMIT this->RoleChanged();
  return std::nullopt;
}

void SlotStore::Demote()
{
  this->primary = false;
  Q_EMIT this->RoleChanged();
}

std::optional<std::uint64_t> SlotStore::TermAt(std::uint64_t aPosition) const
{
  if (aPosition == this->logStart) {
    return this->logStartTerm;
  }
  if (aPosition < this->logStart || aPosition > this->received) {
    return std::nullopt;
  }
  return this->log[aPosition - this->logStart - 1].term;
}

std::deque<LogRecord> SlotStore::RecordsAfter(std::uint64_t aPosition) const
{
  return { this->log.begin() + static_cast<std::ptrdiff_t>(aPosition - this->logStart),
           this->log.end() };
}

void SlotStore::AdoptTerm(std::uint64_t aTerm)
{
  if (this->term == aTerm) {
    return;
  }
  this->term = aTerm;
  Q_EMIT this->RoleChanged();
}

void SlotStore::Replace(const std::string& aCopy,
                        std::uint64_t aPosition,
                        std::uint64_t aPositionTerm,
                        std::uint64_t aTerm)
{
  this->working.Replace(aCopy);
  this->committed.Replace(aCopy);
  this->log.clear();
  this->logStart = aPosition;
  this->logStartTerm = aPositionTerm;
  this->received = aPosition;
  this->applied = aPosition;
  this->AdoptTerm(aTerm);
}

void SlotStore::Receive(LogRecord aRecord)
{
  if (aRecord.position != this->received + 1) {
    return;
  }
  this->received = aRecord.position;
  this->log.push_back(std::move(aRecord));
}

void SlotStore::ApplyUpTo(std::uint64_t aPosition)
{
  while (this->applied < std::min(aPosition, this->received)) {
    const LogRecord& record = this->log[this->applied - this->logStart];
    this->Apply(this->working, record);
    this->Apply(this->committed, record);
    ++this->applied;
  }
  this->TrimLog();
}

std::optional<SqlError> SlotStore::Apply(SqliteDatabase& aDatabase, const LogRecord& aRecord)
{
  aDatabase.Execute("BEGIN");
  for (const auto& [sql, parameters] : aRecord.statements) {
    if (auto result = aDatabase.Execute(sql, parameters); result.error) {
      qWarning("cannot apply the log record at position %llu: %s",
               static_cast<unsigned long long>(aRecord.position),
               result.error->message.c_str());
    }
  }
  return aDatabase.Execute("COMMIT").error;
}

void SlotStore::TrimLog()
{
  while (this->log.size() > kMaxLogRecords && this->logStart < this->applied) {
    ++this->logStart;
    this->logStartTerm = this->log.front().term;
    this->log.pop_front();
  }
}

} // namespace oleanderledge::stand_in
