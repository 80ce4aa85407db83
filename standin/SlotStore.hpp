#pragma once

#include "LogRecord.hpp"
#include "SqliteDatabase.hpp"

#include <QObject>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace oleanderledge::stand_in {

/// The data of one slot: its log, role and term, and two SQLite databases. The session that holds
/// the writer token runs its transaction in the working database; all others read the committed
/// one. Both have the same content while no transaction writes.
class SlotStore : public QObject
{
  Q_OBJECT

public:
  explicit SlotStore(QObject* aParent);

  bool IsPrimary() const { return this->primary; }
  std::uint64_t Term() const { return this->term; }
  std::uint64_t Received() const { return this->received; }
  std::uint64_t Applied() const { return this->applied; }

  SqliteDatabase& Working() { return this->working; }
  SqliteDatabase& Committed() { return this->committed; }

  // --- Transactions of the primary ---

  void BeginWrite();
  /// Adds a statement that succeeded in the working database.
  void RecordWrite(std::string aSql, Parameters aParameters);
  /// Applies the transaction to the committed database and appends it to the log. An error leaves
  /// nothing of it.
  std::optional<SqlError> CommitWrite();
  void RollbackWrite();

  // --- Role ---

  /// Becomes primary of the first term of an empty group and runs the schema.
  void Bootstrap(const std::string& aSchema);
  /// Applies everything received and becomes primary. Fails if the term is not higher than the
  /// present one; repeating a call that succeeded succeeds.
  std::optional<SqlError> Promote(std::uint64_t aTerm);
  /// Becomes a replica. The caller has ended all transactions.
  void Demote();

  // --- Replication ---

  /// Term of the record at a position; 0 at the start of the log; nothing if it is not known.
  std::optional<std::uint64_t> TermAt(std::uint64_t aPosition) const;
  /// The records after a position that TermAt() knows.
  std::deque<LogRecord> RecordsAfter(std::uint64_t aPosition) const;
  std::string Copy() const { return this->committed.Copy(); }

  /// The log of this replica is a prefix of that of the primary of this term.
  void Adopt(std::uint64_t aTerm);
  /// Replaces everything by a copy of the primary.
  void Replace(const std::string& aCopy,
               std::uint64_t aPosition,
               std::uint64_t aPositionTerm,
               std::uint64_t aTerm);
  /// Appends a record without applying it. Ignores records out of order.
  void Receive(LogRecord aRecord);
  /// Applies the records up to a position.
  void ApplyUpTo(std::uint64_t aPosition);

Q_SIGNALS:
  /// A transaction was committed on this primary.
  void RecordCommitted(const oleanderledge::stand_in::LogRecord& aRecord);
  /// Role or term changed.
  void RoleChanged();

private:
  std::optional<SqlError> Apply(SqliteDatabase& aDatabase, const LogRecord& aRecord);
  void TrimLog();

  SqliteDatabase working;
  SqliteDatabase committed;
  bool primary = false;
  std::uint64_t term = 0;
  std::uint64_t received = 0;
  std::uint64_t applied = 0;
  std::uint64_t logStart = 0;     ///< Position before the first record held.
  std::uint64_t logStartTerm = 0; ///< Term of the record at logStart.
  std::deque<LogRecord> log;
  LogRecord pending;
};

} // namespace oleanderledge::stand_in
