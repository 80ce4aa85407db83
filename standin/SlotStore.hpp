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
  /// Position of the last record in the log.
  std::uint64_t Received() const { return this->received; }
  /// Position of the last record that reads can see.
  std::uint64_t Applied() const { return this->applied; }

  SqliteDatabase& Working() { return this->working; }
  SqliteDatabase& Committed() { return this->committed; }

  // --- Transactions of the primary ---

  void BeginWrite();
  /// Adds a statement that succeeded in the working database.
  void RecordWrite(std::string aSql, Parameters aParameters);
  /// Applies the transaction to the committed database and appends it to the log. After an error
  /// the transaction has no effect.
  std::optional<SqlError> CommitWrite();
  void RollbackWrite();

  // --- Role ---

  /// Becomes primary of the first term of an empty group and runs the schema.
  void Bootstrap(const std::string& aSchema);
  /// Applies everything received and becomes primary. Fails with 55000 if the term is not higher
  /// than the current one, unless it repeats a call that succeeded.
  std::optional<SqlError> Promote(std::uint64_t aTerm);
  /// Becomes a replica. The caller has ended all transactions.
  void Demote();

  // --- Replication ---

  /// Term of the record at a position; 0 at the start of the log; nullopt if the log does not
  /// contain it.
  std::optional<std::uint64_t> TermAt(std::uint64_t aPosition) const;
  /// The records after a position that TermAt() knows.
  std::deque<LogRecord> RecordsAfter(std::uint64_t aPosition) const;
  std::string Copy() const { return this->committed.Copy(); }

  /// Takes over the term of a primary of which the log of this replica is a prefix.
  void AdoptTerm(std::uint64_t aTerm);
  /// Replaces data, positions and log by a copy of the primary's data.
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
