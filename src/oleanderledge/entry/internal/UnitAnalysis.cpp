#include "oleanderledge/entry/internal/UnitAnalysis.hpp"

#include <algorithm>
#include <set>

namespace oleanderledge {

namespace {

/// Follows names of statements and portals through the messages of one unit.
class UnitReader
{
public:
  explicit UnitReader(const SessionStatements& aStatements)
    : statements(aStatements)
  {
  }

  bool Read(const MessageView& aView)
  {
    UnitStep step;
    step.view = aView;
    FieldReader fields(aView.body);
    switch (aView.type) {
      case 'Q':
        step.statement = RecognizeStatement(fields.ReadString());
        this->analysis.executed.push_back(step.statement);
        break;
      case 'P':
        this->ReadParse(step, fields);
        break;
      case 'B':
        this->ReadBind(step, fields);
        break;
      case 'D':
      case 'C':
        this->ReadTarget(step, fields);
        break;
      case 'E':
        step.statement = this->portals[std::string(fields.ReadString())];
        fields.ReadInt32();
        this->analysis.executed.push_back(step.statement);
        break;
      default:
        break;
    }
    this->analysis.steps.push_back(std::move(step));
    return fields.IsValid();
  }

  UnitAnalysis Take() { return std::move(this->analysis); }

private:
  void ReadParse(UnitStep& aStep, FieldReader& aFields)
  {
    aStep.statementName = aFields.ReadString();
    aStep.statement = RecognizeStatement(aFields.ReadString());
    const std::int16_t types = aFields.ReadInt16();
    aFields.ReadBytes(static_cast<std::size_t>(std::max<std::int16_t>(types, 0)) * 4);
    aStep.refersToStatement = true;
    this->parsed[aStep.statementName] = aStep.statement;
  }

  void ReadBind(UnitStep& aStep, FieldReader& aFields)
  {
    const std::string portal(aFields.ReadString());
    aStep.statementName = aFields.ReadString();
    aStep.refersToStatement = true;
    aStep.statement = this->Use(aStep.statementName);
    this->portals[portal] = aStep.statement;
  }

  void ReadTarget(UnitStep& aStep, FieldReader& aFields)
  {
    const char target = static_cast<char>(aFields.ReadByte());
    const std::string name(aFields.ReadString());
    aStep.refersToPortal = target == 'P';
    aStep.refersToStatement = target == 'S';
    if (aStep.refersToPortal) {
      aStep.statement = this->portals[name];
      return;
    }
    aStep.statementName = name;
    if (aStep.view.type == 'D') {
      aStep.statement = this->Use(name);
    } else {
      this->parsed.erase(name);
      this->closed.insert(name);
    }
  }

  RecognizedStatement Use(const std::string& aName)
  {
    if (const auto found = this->parsed.find(aName); found != this->parsed.end()) {
      return found->second;
    }
    const auto found = this->statements.find(aName);
    if (found == this->statements.end() || this->closed.contains(aName)) {
      this->analysis.unknownStatements.push_back(aName);
      return {};
    }
    if (this->used.insert(aName).second) {
      this->analysis.usedStatements.push_back(aName);
    }
    return found->second.recognized;
  }

  const SessionStatements& statements;
  std::map<std::string, RecognizedStatement, std::less<>> parsed;
  std::map<std::string, RecognizedStatement, std::less<>> portals;
  std::set<std::string> used;
  std::set<std::string> closed;
  UnitAnalysis analysis;
};

} // namespace

StatementKind UnitAnalysis::SoleKind() const
{
  return this->executed.size() == 1 ? this->executed.front().kind : StatementKind::Other;
}

Result<UnitAnalysis> AnalyzeUnit(std::string_view aPayload, const SessionStatements& aStatements)
{
  UnitReader reader(aStatements);
  for (const MessageView& view : SplitMessages(aPayload)) {
    if (!reader.Read(view)) {
      return Fail(ResultCode::ProtocolViolation,
                  std::string("malformed message of type ") + view.type);
    }
  }
  return reader.Take();
}

std::string ReplaceParseText(std::string_view aMessage, std::string_view aSql)
{
  const auto views = SplitMessages(aMessage);
  if (views.empty()) {
    return std::string(aMessage);
  }
  FieldReader fields(views.front().body);
  const std::string_view name = fields.ReadString();
  const std::string_view sql = fields.ReadString();
  std::string body(name);
  body.push_back('\0');
  body.append(aSql);
  body.push_back('\0');
  body.append(views.front().body.substr(name.size() + sql.size() + 2));
  return BuildMessage('P', body);
}

} // namespace oleanderledge
