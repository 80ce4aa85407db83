#include "oleanderledge/base/base.hpp"

#include <cstdio>

int main(int /*argc*/, char** /*argv*/)
{
  std::fputs("usage: oleanderledge proxy|control|ctl|replay|report|check-settings\n", stderr);
  return 2;
}
