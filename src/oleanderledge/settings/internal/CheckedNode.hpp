#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// Problems found in one file, each a whole line.
struct ProblemList
{
  std::string path;
  std::vector<std::string> lines;

  void Add(const YAML::Mark& aMark, std::string_view aKey, std::string_view aText);
};

/// A mapping in the file whose keys are read by name. Keys that are never read are reported as
/// unknown by ReportUnknownKeys(), and keys given twice by the constructor.
class CheckedNode
{
public:
  CheckedNode(const YAML::Node& aNode, std::string aPrefix, ProblemList& aProblems);

  /// Text that is not empty. Missing optional keys leave the target as it is.
  void ReadText(std::string_view aKey, std::string& aTarget, bool aRequired);
  /// "ip:port" with a literal IP address.
  void ReadAddress(std::string_view aKey, std::string& aTarget, bool aRequired);
  void ReadAddresses(std::string_view aKey, std::vector<std::string>& aTarget, bool aRequired);
  /// A whole number within [aLeast, aMost].
  void ReadNumber(std::string_view aKey,
                  std::uint32_t& aTarget,
                  std::uint32_t aLeast,
                  std::uint32_t aMost);
  /// `true` or `false`.
  void ReadFlag(std::string_view aKey, bool& aTarget);
  /// "region/zone".
  void ReadZone(std::string_view aKey, std::string& aTarget);
  /// A mapping, empty if the key is missing.
  CheckedNode ReadMapping(std::string_view aKey, bool aRequired);
  /// A list of mappings.
  std::vector<CheckedNode> ReadMappings(std::string_view aKey, bool aRequired);

  void ReportUnknownKeys() const;

private:
  YAML::Node Find(std::string_view aKey, bool aRequired);
  std::string FullKey(std::string_view aKey) const;
  bool CheckAddress(const YAML::Node& aNode, std::string_view aKey);

  YAML::Node node;
  std::string prefix;
  ProblemList* problems;
  std::set<std::string, std::less<>> knownKeys;
};

} // namespace oleanderledge
