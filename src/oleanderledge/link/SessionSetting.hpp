#pragma once

#include <string>

namespace oleanderledge {

/// A setting of a caller's session, set on the backend connection before the session's statements
/// run there.
struct SessionSetting
{
  std::string name;
  std::string value;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->name, this->value);
  }
};

} // namespace oleanderledge
