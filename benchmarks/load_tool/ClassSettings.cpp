#include "ClassSettings.hpp"

#include <charconv>
#include <cmath>

namespace oleanderledge::load {

namespace {

std::vector<std::string_view> Split(std::string_view aText, char aSeparator)
{
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t end = aText.find(aSeparator);
    parts.push_back(aText.substr(0, end));
    if (end == std::string_view::npos) {
      return parts;
    }
    aText.remove_prefix(end + 1);
  }
}

/// Parses a finite, non-negative number.
bool ReadNumber(std::string_view aText, double& aValue)
{
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, aValue);
  return parsed.ec == std::errc{} && parsed.ptr == end && std::isfinite(aValue) && aValue >= 0;
}

std::optional<ClassSettings> ParseClass(std::string_view aText)
{
  const auto parts = Split(aText, ':');
  ClassSettings settings;
  double target = 0;
  double connections = settings.connections;
  if (parts.size() < 4 || parts.size() > 5 || parts[0].empty() ||
      !ReadNumber(parts[1], settings.rate) || !ReadNumber(parts[2], settings.readShare) ||
      settings.readShare > 1 || !ReadNumber(parts[3], target) || target < 1 ||
      (parts.size() == 5 && (!ReadNumber(parts[4], connections) || connections < 1))) {
    return std::nullopt;
  }
  settings.name = parts[0];
  settings.targetMs = static_cast<int>(target);
  settings.connections = static_cast<int>(connections);
  return settings;
}

} // namespace

std::optional<std::vector<ClassSettings>> ParseClasses(std::string_view aText)
{
  std::vector<ClassSettings> classes;
  for (const std::string_view part : Split(aText, ',')) {
    auto settings = ParseClass(part);
    if (!settings) {
      return std::nullopt;
    }
    classes.push_back(std::move(*settings));
  }
  return classes;
}

std::optional<FloodSettings> ParseFlood(std::string_view aText)
{
  const auto parts = Split(aText, ':');
  FloodSettings flood;
  if (parts.size() != 4 || !ReadNumber(parts[1], flood.rate) ||
      !ReadNumber(parts[2], flood.startS) || !ReadNumber(parts[3], flood.endS) ||
      flood.endS <= flood.startS) {
    return std::nullopt;
  }
  flood.className = parts[0];
  return flood;
}

} // namespace oleanderledge::load
