#include "oleanderledge/settings/internal/CheckedNode.hpp"

#include "oleanderledge/base/base.hpp"

#include <charconv>
#include <optional>

namespace oleanderledge {

namespace {

std::optional<std::uint32_t> ToNumber(std::string_view aText)
{
  std::uint32_t number = 0;
  const auto parsed = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (parsed.ec != std::errc{} || parsed.ptr != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return number;
}

} // namespace

void ProblemList::Add(const YAML::Mark& aMark, std::string_view aKey, std::string_view aText)
{
  std::string line = this->path + ":" + std::to_string(aMark.line + 1) + ": ";
  line.append(aKey).append(": ").append(aText);
  this->lines.push_back(std::move(line));
}

CheckedNode::CheckedNode(const YAML::Node& aNode, std::string aPrefix, ProblemList& aProblems)
  : node(aNode)
  , prefix(std::move(aPrefix))
  , problems(&aProblems)
{
  std::set<std::string> seen;
  for (const auto& pair : this->node) {
    const std::string key = pair.first.Scalar();
    if (!seen.insert(key).second) {
      this->problems->Add(pair.first.Mark(), this->FullKey(key), "given twice, expected once");
    }
  }
}

std::string CheckedNode::FullKey(std::string_view aKey) const
{
  return this->prefix.empty() ? std::string(aKey) : this->prefix + "." + std::string(aKey);
}

YAML::Node CheckedNode::Find(std::string_view aKey, bool aRequired)
{
  this->knownKeys.emplace(aKey);
  // Not by operator[], which would add a missing key to the document.
  for (const auto& pair : this->node) {
    if (pair.first.Scalar() == aKey) {
      return pair.second;
    }
  }
  if (aRequired) {
    this->problems->Add(this->node.Mark(), this->FullKey(aKey), "missing, expected a value");
  }
  return YAML::Node(YAML::NodeType::Undefined);
}

void CheckedNode::ReadText(std::string_view aKey, std::string& aTarget, bool aRequired)
{
  const YAML::Node value = this->Find(aKey, aRequired);
  if (!value.IsDefined()) {
    return;
  }
  if (!value.IsScalar() || value.Scalar().empty()) {
    this->problems->Add(value.Mark(), this->FullKey(aKey), "expected text that is not empty");
    return;
  }
  aTarget = value.Scalar();
}

bool CheckedNode::CheckAddress(const YAML::Node& aNode, std::string_view aKey)
{
  const std::string text = aNode.IsScalar() ? aNode.Scalar() : std::string();
  if (IsIpAndPort(text)) {
    return true;
  }
  this->problems->Add(aNode.Mark(),
                      this->FullKey(aKey),
                      "'" + text + "' is not an address, expected IP:PORT like 127.0.0.1:7001");
  return false;
}

void CheckedNode::ReadAddress(std::string_view aKey, std::string& aTarget, bool aRequired)
{
  const YAML::Node value = this->Find(aKey, aRequired);
  if (value.IsDefined() && this->CheckAddress(value, aKey)) {
    aTarget = value.Scalar();
  }
}

void CheckedNode::ReadAddresses(std::string_view aKey,
                                std::vector<std::string>& aTarget,
                                bool aRequired)
{
  const YAML::Node list = this->Find(aKey, aRequired);
  if (!list.IsDefined()) {
    return;
  }
  if (!list.IsSequence() || list.size() == 0) {
    this->problems->Add(
      list.Mark(), this->FullKey(aKey), "expected a list with at least one IP:PORT");
    return;
  }
  for (const YAML::Node& element : list) {
    if (this->CheckAddress(element, aKey)) {
      aTarget.push_back(element.Scalar());
    }
  }
}

void CheckedNode::ReadNumber(std::string_view aKey,
                             std::uint32_t& aTarget,
                             std::uint32_t aMin,
                             std::uint32_t aMax)
{
  const YAML::Node value = this->Find(aKey, false);
  if (!value.IsDefined()) {
    return;
  }
  const auto number = value.IsScalar() ? ToNumber(value.Scalar()) : std::nullopt;
  if (!number || *number < aMin || *number > aMax) {
    this->problems->Add(value.Mark(),
                        this->FullKey(aKey),
                        "expected a whole number from " + std::to_string(aMin) + " to " +
                          std::to_string(aMax));
    return;
  }
  aTarget = *number;
}

void CheckedNode::ReadBoolean(std::string_view aKey, bool& aTarget)
{
  const YAML::Node value = this->Find(aKey, false);
  if (!value.IsDefined()) {
    return;
  }
  const std::string text = value.IsScalar() ? value.Scalar() : "";
  if (text != "true" && text != "false") {
    this->problems->Add(value.Mark(), this->FullKey(aKey), "expected true or false");
    return;
  }
  aTarget = text == "true";
}

void CheckedNode::ReadZone(std::string_view aKey, std::string& aTarget)
{
  this->ReadText(aKey, aTarget, true);
  const std::size_t slash = aTarget.find('/');
  const bool hasTwoParts = slash != std::string::npos && slash > 0 && slash + 1 < aTarget.size() &&
                           aTarget.find('/', slash + 1) == std::string::npos;
  if (!aTarget.empty() && !hasTwoParts) {
    this->problems->Add(this->Find(aKey, false).Mark(),
                        this->FullKey(aKey),
                        "'" + aTarget + "' is not a zone, expected REGION/ZONE");
  }
}

CheckedNode CheckedNode::ReadMapping(std::string_view aKey, bool aRequired)
{
  const YAML::Node value = this->Find(aKey, aRequired);
  if (value.IsDefined() && !value.IsMap()) {
    this->problems->Add(value.Mark(), this->FullKey(aKey), "expected a mapping");
  }
  const bool usable = value.IsDefined() && value.IsMap();
  return { usable ? value : YAML::Node(YAML::NodeType::Map), this->FullKey(aKey), *this->problems };
}

std::vector<CheckedNode> CheckedNode::ReadMappings(std::string_view aKey, bool aRequired)
{
  std::vector<CheckedNode> elements;
  const YAML::Node list = this->Find(aKey, aRequired);
  if (!list.IsDefined()) {
    return elements;
  }
  if (!list.IsSequence()) {
    this->problems->Add(list.Mark(), this->FullKey(aKey), "expected a list of mappings");
    return elements;
  }
  for (const YAML::Node& element : list) {
    if (!element.IsMap()) {
      this->problems->Add(element.Mark(), this->FullKey(aKey), "expected a mapping");
      continue;
    }
    elements.emplace_back(element, this->FullKey(aKey), *this->problems);
  }
  return elements;
}

void CheckedNode::ReportUnknownKeys() const
{
  for (const auto& pair : this->node) {
    const std::string key = pair.first.Scalar();
    if (this->knownKeys.contains(key)) {
      continue;
    }
    std::string expected;
    for (const std::string& known : this->knownKeys) {
      expected += (expected.empty() ? "" : ", ") + known;
    }
    this->problems->Add(
      pair.first.Mark(), this->FullKey(key), "unknown key, expected one of " + expected);
  }
}

} // namespace oleanderledge
