#include "oleanderledge/control/ClassTable.hpp"

#include "oleanderledge/control/Tombstones.hpp"
#include "oleanderledge/link/internal/StructCodec.hpp"

#include <algorithm>
#include <cctype>

namespace oleanderledge {

namespace {

/// In the largest deployment, with 1,800 changes a day, this answers repetitions of requests for
/// five days and takes a few megabytes.
constexpr std::size_t kMaxStoredAnswers = 10'000;
constexpr std::size_t kMaxHistoryEntries = 10'000;
/// Rows of deleted classes that are kept. A proxy that was out of contact during more deletions
/// gets the whole directory.
constexpr std::size_t kKeptTombstones = 8;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxRequestIdLength = 128;
constexpr std::int64_t kMaxTargetMs = std::int64_t{ 24 } * 3600 * 1000;

/// Class names consist of letters, digits, `_` and `-`, because they appear in start-up options and
/// metric labels.
bool IsValidName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         std::all_of(aName.begin(), aName.end(), [](unsigned char aByte) {
           return std::isalnum(aByte) != 0 || aByte == '_' || aByte == '-';
         });
}

/// Encodes a request without its id and time, to compare it with another one.
std::string ContentOf(ChangeClass aChange)
{
  aChange.requestId.clear();
  aChange.atUnixMs = 0;
  return EncodeStruct(aChange);
}

} // namespace

void ClassTable::Apply(std::uint64_t aIndex, const ChangeClass& aChange)
{
  if (this->requests.contains(aChange.requestId)) {
    return;
  }
  this->StoreAnswer(aChange, this->ApplyChange(aIndex, aChange));
}

OperatorAnswer ClassTable::ApplyChange(std::uint64_t aIndex, const ChangeClass& aChange)
{
  const bool needsTarget = aChange.action != ClassAction::Delete;
  if (aChange.requestId.empty() || aChange.requestId.size() > kMaxRequestIdLength ||
      !IsValidName(aChange.name) || aChange.action > ClassAction::Delete ||
      (needsTarget && (aChange.targetMs <= 0 || aChange.targetMs > kMaxTargetMs))) {
    return { ResultCode::InvalidClass, this->version, {} };
  }
  if (aChange.baseVersion != this->version) {
    return { ResultCode::VersionConflict, this->version, this->ActiveClasses() };
  }
  const auto found = this->rows.find(aChange.name);
  const bool exists = found != this->rows.end() && !found->second.deleted;
  if (aChange.action == ClassAction::Create && exists) {
    return { ResultCode::ClassExists, this->version, { found->second } };
  }
  if (aChange.action != ClassAction::Create && !exists) {
    return { ResultCode::ClassNotFound, this->version, {} };
  }
  ClassRow row{ aChange.name, aChange.targetMs, aIndex, false };
  if (aChange.action == ClassAction::Delete) {
    row.targetMs = found->second.targetMs;
    row.deleted = true;
  }
  this->rows[aChange.name] = row;
  this->purgedVersion = std::max(this->purgedVersion, PurgeTombstones(this->rows, kKeptTombstones));
  this->version = aIndex;
  this->history.push_back(
    { aIndex, aChange.action, aChange.name, row.targetMs, aChange.requestId, aChange.atUnixMs });
  if (this->history.size() > kMaxHistoryEntries) {
    this->history.pop_front();
  }
  return { ResultCode::Ok, aIndex, { std::move(row) } };
}

void ClassTable::StoreAnswer(const ChangeClass& aChange, OperatorAnswer aAnswer)
{
  if (aChange.requestId.empty() || aChange.requestId.size() > kMaxRequestIdLength) {
    return;
  }
  this->requests[aChange.requestId] = { aChange.requestId, ContentOf(aChange), std::move(aAnswer) };
  this->requestOrder.push_back(aChange.requestId);
  if (this->requestOrder.size() > kMaxStoredAnswers) {
    this->requests.erase(this->requestOrder.front());
    this->requestOrder.pop_front();
  }
}

const OperatorAnswer* ClassTable::FindAnswer(const ChangeClass& aChange) const
{
  const auto found = this->requests.find(aChange.requestId);
  if (found == this->requests.end()) {
    return nullptr;
  }
  return found->second.content == ContentOf(aChange) ? &found->second.answer : &this->reusedAnswer;
}

std::vector<ClassRow> ClassTable::ActiveClasses() const
{
  std::vector<ClassRow> present;
  for (const auto& [name, row] : this->rows) {
    if (!row.deleted) {
      present.push_back(row);
    }
  }
  return present;
}

std::string ClassTable::Serialize() const
{
  Snapshot snapshot;
  snapshot.version = this->version;
  snapshot.purgedVersion = this->purgedVersion;
  for (const auto& [name, row] : this->rows) {
    snapshot.rows.push_back(row);
  }
  snapshot.history.assign(this->history.begin(), this->history.end());
  for (const auto& id : this->requestOrder) {
    snapshot.requests.push_back(this->requests.find(id)->second);
  }
  return EncodeStruct(snapshot);
}

Result<void> ClassTable::Restore(std::string_view aBytes)
{
  auto decoded = DecodeStruct<Snapshot>(aBytes);
  if (!decoded) {
    return Fail(decoded.error().code, decoded.error().message);
  }
  Snapshot& snapshot = decoded.value();
  *this = ClassTable{};
  this->version = snapshot.version;
  this->purgedVersion = snapshot.purgedVersion;
  for (ClassRow& row : snapshot.rows) {
    this->rows[row.name] = row;
  }
  this->history.assign(snapshot.history.begin(), snapshot.history.end());
  for (KnownRequest& request : snapshot.requests) {
    this->requestOrder.push_back(request.requestId);
    this->requests[request.requestId] = std::move(request);
  }
  return boost::outcome_v2::success();
}

} // namespace oleanderledge
