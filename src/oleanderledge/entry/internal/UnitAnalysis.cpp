#include "oleanderledge/entry/internal/UnitAnalysis.hpp"

#include <algorithm>
#include <set>

namespace oleanderledge {

namespace {

/// Resolves the names of statements and portals in the messages of one unit.
class UnitReader
{
public:
  explicit UnitReader(const SessionStatements& aStatements)
    : statements(aStatements)
  {
  }

  /// Adds the next message of the unit. Returns false if it is malformed.
  bool ReadMessage(const MessageView& aView)
  {
    UnitMessage message;
    message.view = aView;
    FieldReader fields(aView.body);
    switch (aView.type) {
      case 'Q':
        message.statement = RecognizeStatement(fields.ReadString());
        this->analysis.executed.push_back(message.statement);
        break;
      case 'P':
        this->ReadParse(message, fields);
        break;
      case 'B':
        this->ReadBind(message, fields);
        break;
      case 'D':
      case 'C':
        this->ReadDescribeOrClose(message, fields);
        break;
      case 'E':
        message.statement = this->portals[std::string(fields.ReadString())];
        fields.ReadInt32();
        this->analysis.executed.push_back(message.statement);
        break;
      default:
        break;
    }
    this->analysis.messages.push_back(std::move(message));
    return fields.IsValid();
  }

  UnitAnalysis TakeAnalysis() { return std::move(this->analysis); }

private:
  void ReadParse(UnitMessage& aMessage, FieldReader& aFields)
  {
    aMessage.statementName = aFields.ReadString();
    aMessage.statement = RecognizeStatement(aFields.ReadString());
    const std::int16_t types = aFields.ReadInt16();
    aFields.ReadBytes(static_cast<std::size_t>(std::max<std::int16_t>(types, 0)) * 4);
    aMessage.refersToStatement = true;
    this->parsed[aMessage.statementName] = aMessage.statement;
  }

  void ReadBind(UnitMessage& aMessage, FieldReader& aFields)
  {
    const std::string portal(aFields.ReadString());
    aMessage.statementName = aFields.ReadString();
    aMessage.refersToStatement = true;
    aMessage.statement = this->ResolveStatement(aMessage.statementName);
    this->portals[portal] = aMessage.statement;
  }

  void ReadDescribeOrClose(UnitMessage& aMessage, FieldReader& aFields)
  {
    const char target = static_cast<char>(aFields.ReadByte());
    const std::string name(aFields.ReadString());
    aMessage.refersToPortal = target == 'P';
    aMessage.refersToStatement = target == 'S';
    if (aMessage.refersToPortal) {
      aMessage.statement = this->portals[name];
      return;
    }
    aMessage.statementName = name;
    if (aMessage.view.type == 'D') {
      aMessage.statement = this->ResolveStatement(name);
    } else {
      this->parsed.erase(name);
      this->closed.insert(name);
    }
  }

  RecognizedStatement ResolveStatement(const std::string& aName)
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

StatementKind UnitAnalysis::SoleStatementKind() const
{
  return this->executed.size() == 1 ? this->executed.front().kind : StatementKind::Other;
}

Result<UnitAnalysis> AnalyzeUnit(std::string_view aPayload, const SessionStatements& aStatements)
{
  UnitReader reader(aStatements);
  for (const MessageView& view : SplitMessages(aPayload)) {
    if (!reader.ReadMessage(view)) {
      return Fail(ResultCode::ProtocolViolation,
                  std::string("malformed message of type ") + view.type);
    }
  }
  return reader.TakeAnalysis();
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
