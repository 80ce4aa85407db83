#include "oleanderledge/organisations/organisations.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

// Guards against a change of the digest: control and proxies of different versions compare digests.
TEST_CASE("The digest of a key is the first half of its SHA-256", "[key_digest]")
{
  const std::string digest = DigestOfKey("abc");
  REQUIRE(digest.size() == kKeyDigestBytes);
  CHECK(digest.substr(0, 4) == "\xba\x78\x16\xbf");
  CHECK(DigestOfKey("abd") != digest);
  CHECK(DigestOfKey("").size() == kKeyDigestBytes);
}
