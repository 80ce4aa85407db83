#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge::load {

/// One kind of work that the tool offers.
struct ClassSettings
{
  std::string name;
  double rate = 0;      ///< Requests per second.
  double readShare = 0; ///< 0 to 1.
  int targetMs = 1000;
  int connections = 50; ///< For reads and for writes each.
};

/// A time in which one class has another rate.
struct FloodSettings
{
  std::string className;
  double rate = 0;   ///< Requests per second during the flood.
  double startS = 0; ///< From the end of the warm-up.
  double endS = 0;
};

/// Parses "NAME:RATE:READ_SHARE:TARGET_MS[:CONNECTIONS]", several separated by commas. Nothing if
/// the text is not valid.
std::optional<std::vector<ClassSettings>> ParseClasses(std::string_view aText);

/// Parses "NAME:RATE:START_S:END_S". Nothing if the text is not valid.
std::optional<FloodSettings> ParseFlood(std::string_view aText);

} // namespace oleanderledge::load
