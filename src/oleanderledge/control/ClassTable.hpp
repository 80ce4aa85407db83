#pragma once

#include "oleanderledge/control/ControlCommand.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// Answer to one operator request, kept to answer repetitions of the request.
struct OperatorAnswer
{
  ResultCode code = ResultCode::Ok;
  std::uint64_t version = 0; ///< Configuration version after the request.
  /// The class after the change. After ClassExists the existing class, after VersionConflict all
  /// classes that exist.
  std::vector<ClassRow> classes;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->code, this->version, this->classes);
  }
};

/// One accepted change of the configuration.
struct ConfigChange
{
  std::uint64_t version = 0;
  ClassAction action = ClassAction::Create;
  std::string name;
  std::int64_t targetMs = 0;
  std::string requestId;
  std::int64_t atUnixMs = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(
      this->version, this->action, this->name, this->targetMs, this->requestId, this->atUnixMs);
  }
};

/// Classes of work, their history, and the answers to operator requests.
///
/// The configuration version is the log index of the last accepted change, 0 before the first.
class ClassTable
{
public:
  /// Validates and applies a change and stores the answer. A repeated request id changes nothing.
  void Apply(std::uint64_t aIndex, const ChangeClass& aChange);

  /// Answer to a request that was applied before, or null if its id is unknown. The answer has the
  /// code RequestIdReused if the id belongs to another request.
  const OperatorAnswer* FindAnswer(const ChangeClass& aChange) const;

  std::uint64_t Version() const { return this->version; }
  /// Rows by name; includes those of the classes that were deleted last.
  const std::map<std::string, ClassRow, std::less<>>& Rows() const { return this->rows; }
  /// Highest version of a deleted row that is not kept any more.
  std::uint64_t PurgedVersion() const { return this->purgedVersion; }
  /// Classes that exist, by name.
  std::vector<ClassRow> ActiveClasses() const;
  /// Accepted changes, oldest first; limited to the last 10,000.
  const std::deque<ConfigChange>& History() const { return this->history; }

  std::string Serialize() const;
  /// Replaces the content by that of Serialize(). Fails with MalformedFrame.
  Result<void> Restore(std::string_view aBytes);

private:
  struct KnownRequest
  {
    std::string requestId;
    std::string content; ///< The request without its id, to detect reuse.
    OperatorAnswer answer;

    template<class Visitor>
    void Visit(Visitor& aVisitor)
    {
      aVisitor(this->requestId, this->content, this->answer);
    }
  };

  struct Snapshot
  {
    std::uint64_t version = 0;
    std::vector<ClassRow> rows;
    std::vector<ConfigChange> history;
    std::vector<KnownRequest> requests;
    std::uint64_t purgedVersion = 0;

    template<class Visitor>
    void Visit(Visitor& aVisitor)
    {
      aVisitor(this->version, this->rows, this->history, this->requests, this->purgedVersion);
    }
  };

  OperatorAnswer ApplyChange(std::uint64_t aIndex, const ChangeClass& aChange);
  void StoreAnswer(const ChangeClass& aChange, OperatorAnswer aAnswer);

  std::uint64_t version = 0;
  std::uint64_t purgedVersion = 0;
  std::map<std::string, ClassRow, std::less<>> rows;
  std::deque<ConfigChange> history;
  std::map<std::string, KnownRequest, std::less<>> requests;
  std::deque<std::string> requestOrder; ///< Oldest first.
  OperatorAnswer reusedAnswer{ ResultCode::RequestIdReused, 0, {} };
};

} // namespace oleanderledge
