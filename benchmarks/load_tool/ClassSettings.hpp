#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge::load {

/// A class of requests that the tool sends.
struct ClassSettings
{
  std::string name;
  double rate = 0;      ///< Requests per second.
  double readShare = 0; ///< 0 to 1.
  int targetMs = 1000;
  int connections = 50; ///< For reads and for writes each.
};

/// A period in which one class has a different rate.
struct FloodSettings
{
  std::string className;
  double rate = 0;   ///< Requests per second during the flood.
  double startS = 0; ///< From the end of the warm-up.
  double endS = 0;   ///< From the end of the warm-up.
};

/// Parses "NAME:RATE:READ_SHARE:TARGET_MS[:CONNECTIONS]", several separated by commas. Returns
/// nullopt if the text is not valid.
std::optional<std::vector<ClassSettings>> ParseClasses(std::string_view aText);

/// Parses "NAME:RATE:START_S:END_S". Returns nullopt if the text is not valid.
std::optional<FloodSettings> ParseFlood(std::string_view aText);

} // namespace oleanderledge::load
