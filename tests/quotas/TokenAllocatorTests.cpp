#include "oleanderledge/quotas/quotas.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

Instant At(int aMs)
{
  return Instant{ std::chrono::hours(1) } + std::chrono::milliseconds(aMs);
}

class AllocatorFixture
{
public:
  AllocatorFixture() { this->allocator.OnLeadershipGained(1, At(0)); }

  void SetLimit(std::uint64_t aPerSecond, std::uint32_t aBurst)
  {
    OrganisationRow row;
    row.name = "miny";
    row.rate = { true, aPerSecond * 1000, aBurst };
    this->organisations["miny"] = row;
  }

  TokenGrant Ask(std::uint32_t aTokens, int aMs)
  {
    TokenRequest request;
    request.instance = "proxy-1";
    request.sequence = ++this->sequence;
    request.demands = { { "miny", aTokens } };
    const TokenReply reply = this->allocator.Answer(request, this->organisations, At(aMs));
    CHECK(reply.accepted);
    CHECK(reply.sequence == this->sequence);
    REQUIRE(reply.grants.size() == 1);
    return reply.grants[0];
  }

  TokenAllocator allocator;
  OrganisationMap organisations;
  std::uint64_t sequence = 0;
};

} // namespace

// Guards against a second burst that a new leader grants in the window of its predecessor.
TEST_CASE_METHOD(AllocatorFixture, "A new leader starts with few tokens and fills up at the rate")
{
  this->SetLimit(10, 40);
  CHECK(this->Ask(100, 0).tokens == 5);
  // The rest of the rate belongs to the shares that the predecessor may have granted.
  CHECK(this->Ask(100, 1000).tokens == 7);
  CHECK(this->Ask(1, 10000).tokens == 1);
  CHECK(this->Ask(100, 61000).tokens == 40);
}

TEST_CASE_METHOD(AllocatorFixture, "A denial tells when a token can be had, one after the other")
{
  this->SetLimit(10, 40);
  CHECK(this->Ask(40, 60000).retryAfterMs == 0);
  CHECK(this->Ask(1, 60000).retryAfterMs == 100);
  CHECK(this->Ask(1, 60000).retryAfterMs == 200);
  CHECK(this->Ask(1, 60100).tokens == 1);
  CHECK(this->Ask(1, 60200).tokens == 1);
}

// Guards against callers of an organisation in a flood that are all told to stay away for long.
TEST_CASE_METHOD(AllocatorFixture, "Retry times stay near the present however many are denied")
{
  this->SetLimit(10, 40);
  for (int count = 0; count < 1000; ++count) {
    CHECK(this->Ask(5, 0).retryAfterMs <= 1000);
  }
}

TEST_CASE_METHOD(AllocatorFixture, "A lowered limit binds the tokens that are left")
{
  this->SetLimit(100, 400);
  CHECK(this->Ask(1, 60000).tokens == 1);
  this->SetLimit(1, 2);
  CHECK(this->Ask(100, 60001).tokens == 2);
  CHECK(this->Ask(100, 62002).tokens == 2);
}

// Guards against an organisation that is added again under its name and gets its burst twice.
TEST_CASE_METHOD(AllocatorFixture, "An organisation that was removed gets no new burst")
{
  this->SetLimit(1, 20);
  CHECK(this->Ask(20, 60000).tokens == 20);
  this->organisations["miny"].deleted = true;
  const TokenGrant removed = this->Ask(1, 60001);
  CHECK(removed.tokens == 0);
  CHECK(removed.retryAfterMs > 0);
  this->organisations["miny"].deleted = false;
  CHECK(this->Ask(20, 60002).tokens == 0);
}

TEST_CASE_METHOD(AllocatorFixture, "An organisation without a limit gets what it asks for")
{
  this->SetLimit(1, 1);
  this->organisations["miny"].rate = {};
  CHECK(this->Ask(1000, 0).tokens == 1000);
}
