#include "oleanderledge/replay/ExpectedOutcome.hpp"

#include <QCryptographicHash>

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <sstream>
#include <string_view>

namespace oleanderledge {

namespace {

constexpr std::size_t kDecisionsPerLine = 10;

std::string FormatDecision(const ReplayDecision& aDecision)
{
  std::string text = std::to_string(aDecision.event) + ":" + std::to_string(aDecision.id);
  if (aDecision.code != ResultCode::Ok) {
    text += ":" + std::to_string(static_cast<int>(aDecision.code));
  }
  return text;
}

std::string DigestOf(const std::vector<ReplayDecision>& aDecisions)
{
  QCryptographicHash hash(QCryptographicHash::Sha256);
  for (const ReplayDecision& decision : aDecisions) {
    hash.addData(QByteArray::fromStdString(FormatDecision(decision) + " "));
  }
  return hash.result().toHex().toStdString();
}

std::optional<ResultCode> CodeOf(std::uint64_t aNumber)
{
  for (const ResultCodeInfo& info : AllResultCodes()) {
    if (static_cast<std::uint64_t>(info.code) == aNumber) {
      return info.code;
    }
  }
  return std::nullopt;
}

std::optional<ReplayDecision> ParseDecision(std::string_view aText)
{
  std::vector<std::uint64_t> numbers;
  const char* position = aText.data();
  const char* const end = position + aText.size();
  while (true) {
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(position, end, number);
    if (parsed.ec != std::errc{}) {
      return std::nullopt;
    }
    numbers.push_back(number);
    if (parsed.ptr == end) {
      break;
    }
    if (*parsed.ptr != ':') {
      return std::nullopt;
    }
    position = parsed.ptr + 1;
  }
  if (numbers.size() < 2 || numbers.size() > 3) {
    return std::nullopt;
  }
  const auto code =
    numbers.size() == 3 ? CodeOf(numbers[2]) : std::optional<ResultCode>{ ResultCode::Ok };
  if (!code) {
    return std::nullopt;
  }
  return ReplayDecision{ numbers[0], numbers[1], *code };
}

/// Throws YAML::Exception if a key is missing or has another type.
std::optional<ReplayOutcome> ReadOutcome(const YAML::Node& aRoot)
{
  ReplayOutcome outcome;
  const YAML::Node classes = aRoot["classes"];
  if (!classes.IsMap()) {
    return std::nullopt;
  }
  for (const auto& entry : classes) {
    ReplayClassOutcome counts;
    counts.served = entry.second["served"].as<std::uint64_t>();
    counts.servedInTarget = entry.second["served_in_target"].as<std::uint64_t>();
    for (const auto& refused : entry.second["refused"]) {
      const auto code = CodeOf(refused.first.as<std::uint64_t>());
      if (!code) {
        return std::nullopt;
      }
      counts.refused[*code] = refused.second.as<std::uint64_t>();
    }
    outcome.classes[entry.first.as<std::string>()] = counts;
  }
  std::istringstream words(aRoot["decisions"].as<std::string>());
  for (std::string word; words >> word;) {
    const auto decision = ParseDecision(word);
    if (!decision) {
      return std::nullopt;
    }
    outcome.decisions.push_back(*decision);
  }
  if (aRoot["digest"].as<std::string>() != DigestOf(outcome.decisions)) {
    return std::nullopt;
  }
  return outcome;
}

std::string FormatCounts(const ReplayClassOutcome& aCounts)
{
  std::string text = "{served: " + std::to_string(aCounts.served) +
                     ", served_in_target: " + std::to_string(aCounts.servedInTarget) +
                     ", refused: {";
  std::string_view separator;
  for (const auto& [code, count] : aCounts.refused) {
    text += separator;
    text += std::to_string(static_cast<int>(code)) + ": " + std::to_string(count);
    separator = ", ";
  }
  return text + "}}";
}

std::string DescribeClass(const ReplayOutcome& aOutcome, const std::string& aClass)
{
  const auto found = aOutcome.classes.find(aClass);
  return found == aOutcome.classes.end() ? "no such class" : FormatCounts(found->second);
}

} // namespace

std::string FormatExpectedOutcome(const ReplayOutcome& aOutcome)
{
  std::string text = "classes:\n";
  for (const auto& [name, counts] : aOutcome.classes) {
    YAML::Emitter quoted;
    quoted << YAML::DoubleQuoted << name;
    text += std::string("  ") + quoted.c_str() + ": " + FormatCounts(counts) + "\n";
  }
  text += "digest: \"" + DigestOf(aOutcome.decisions) + "\"\ndecisions: >-";
  for (std::size_t index = 0; index < aOutcome.decisions.size(); ++index) {
    text += index % kDecisionsPerLine == 0 ? "\n  " : " ";
    text += FormatDecision(aOutcome.decisions[index]);
  }
  return text + "\n";
}

Result<ReplayOutcome> LoadExpectedOutcome(const std::string& aPath)
{
  try {
    if (auto outcome = ReadOutcome(YAML::LoadFile(aPath))) {
      return std::move(*outcome);
    }
  } catch (const YAML::Exception& error) {
    return Fail(ResultCode::SettingsInvalid, aPath + ": " + error.what());
  }
  return Fail(ResultCode::SettingsInvalid,
              aPath + ": expected classes, decisions and the digest of the decisions");
}

std::optional<std::string> FindDifference(const ReplayOutcome& aExpected,
                                          const ReplayOutcome& aActual)
{
  const auto [expected, actual] = std::mismatch(aExpected.decisions.begin(),
                                                aExpected.decisions.end(),
                                                aActual.decisions.begin(),
                                                aActual.decisions.end());
  const bool expectedEnded = expected == aExpected.decisions.end();
  const bool actualEnded = actual == aActual.decisions.end();
  if (!expectedEnded || !actualEnded) {
    std::size_t event = expectedEnded ? actual->event : expected->event;
    if (!actualEnded) {
      event = std::min(event, actual->event);
    }
    std::string text = "the decisions part at line " + std::to_string(event);
    text += ": expected " + (expectedEnded ? "no further decision" : FormatDecision(*expected));
    text += ", got " + (actualEnded ? "no further decision" : FormatDecision(*actual));
    return text;
  }
  std::map<std::string, ReplayClassOutcome> classes = aExpected.classes;
  classes.insert(aActual.classes.begin(), aActual.classes.end());
  for (const auto& [name, counts] : classes) {
    const std::string expectedCounts = DescribeClass(aExpected, name);
    const std::string actualCounts = DescribeClass(aActual, name);
    if (expectedCounts != actualCounts) {
      std::string text = "class " + name;
      text += ": expected " + expectedCounts;
      text += ", got " + actualCounts;
      return text;
    }
  }
  return std::nullopt;
}

} // namespace oleanderledge
