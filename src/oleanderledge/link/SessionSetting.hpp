#pragma once

#include <string>

namespace oleanderledge {

/// A setting of a caller's session, applied to the connection before its statements.
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
