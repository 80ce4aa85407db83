#include "Checks.hpp"

#include <cstdio>

namespace oleanderledge::acceptance {

void Checks::IsTrue(const std::string& aWhat, bool aCondition)
{
  ++(aCondition ? this->passed : this->failed);
  if (!aCondition) {
    std::printf("FAILED %s: %s\n", this->group.c_str(), aWhat.c_str());
  }
}

void Checks::AreEqual(const std::string& aWhat,
                      const std::string& aActual,
                      const std::string& aExpected)
{
  this->IsTrue(aWhat + ": got '" + aActual + "', expected '" + aExpected + "'",
               aActual == aExpected);
}

} // namespace oleanderledge::acceptance
