#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// Collects the problems found in one settings file.
struct ProblemList
{
  std::string path;               ///< Of the file, for the messages.
  std::vector<std::string> lines; ///< One line "FILE:LINE: KEY: TEXT" per problem.

  void Add(const YAML::Mark& aMark, std::string_view aKey, std::string_view aText);
};

/// A mapping in a settings file whose keys are read by name. Every problem is added to the list
/// that was given to the constructor. The constructor reports duplicate keys, and
/// ReportUnknownKeys() reports keys that were never read.
class CheckedNode
{
public:
  CheckedNode(const YAML::Node& aNode, std::string aPrefix, ProblemList& aProblems);

  // Missing optional keys leave the target as it is.

  /// Text that is not empty.
  void ReadText(std::string_view aKey, std::string& aTarget, bool aRequired);
  /// "ip:port" with a literal IP address.
  void ReadAddress(std::string_view aKey, std::string& aTarget, bool aRequired);
  /// A list of at least one address; invalid elements are left out.
  void ReadAddresses(std::string_view aKey, std::vector<std::string>& aTarget, bool aRequired);
  /// An optional whole number from `aMin` to `aMax`.
  void ReadNumber(std::string_view aKey,
                  std::uint32_t& aTarget,
                  std::uint32_t aMin,
                  std::uint32_t aMax);
  /// An optional `true` or `false`.
  void ReadBoolean(std::string_view aKey, bool& aTarget);
  /// "region/zone"; required.
  void ReadZone(std::string_view aKey, std::string& aTarget);
  /// A nested mapping; empty if the key is missing or is no mapping.
  CheckedNode ReadMapping(std::string_view aKey, bool aRequired);
  /// A list of mappings; elements that are none are reported and left out.
  std::vector<CheckedNode> ReadMappings(std::string_view aKey, bool aRequired);

  /// Reports all keys that no call of a Read function asked for. Call it last.
  void ReportUnknownKeys() const;

private:
  YAML::Node Find(std::string_view aKey, bool aRequired);
  std::string FullKey(std::string_view aKey) const;
  bool CheckAddress(const YAML::Node& aNode, std::string_view aKey);

  YAML::Node node;
  std::string prefix; ///< Full key of this mapping, "" for the root.
  ProblemList* problems;
  std::set<std::string, std::less<>> knownKeys; ///< Keys that were asked for.
};

} // namespace oleanderledge
