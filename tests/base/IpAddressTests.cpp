#include "oleanderledge/base/base.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

TEST_CASE("An address needs a literal IP address and a port from 1 to 65535", "[address]")
{
  CHECK(IsIpAndPort("127.0.0.1:1"));
  CHECK(IsIpAndPort("10.1.64.19:65535"));
  CHECK(IsIpAndPort("::1:8080"));
  for (const char* invalid : { "",
                               ":",
                               ":8080",
                               "127.0.0.1",
                               "127.0.0.1:",
                               "127.0.0.1:0",
                               "127.0.0.1:65536",
                               "127.0.0.1:99999999999999999999",
                               "127.0.0.1:-1",
                               "127.0.0.1:80 ",
                               "300.0.0.1:8080",
                               "localhost:8080" }) {
    INFO(invalid);
    CHECK_FALSE(IsIpAndPort(invalid));
  }
}
