#pragma once

#include <string>

namespace oleanderledge::acceptance {

/// Counts checks and prints those that failed.
class Checks
{
public:
  /// Starts a group of checks; failures are printed with its name.
  void BeginGroup(const std::string& aGroup) { this->group = aGroup; }

  void IsTrue(const std::string& aWhat, bool aCondition);
  void AreEqual(const std::string& aWhat, const std::string& aActual, const std::string& aExpected);

  int Passed() const { return this->passed; }
  int Failed() const { return this->failed; }

private:
  std::string group;
  int passed = 0;
  int failed = 0;
};

} // namespace oleanderledge::acceptance
