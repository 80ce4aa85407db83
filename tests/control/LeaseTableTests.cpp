#include "oleanderledge/control/LeaseTable.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

/// A lease of epoch 1 in term 1, granted at `now`, whose owner then drained its database.
class DrainedLease
{
public:
  DrainedLease()
  {
    this->leases.Grant("orders", 1, 1, this->now);
    this->leases.ReleaseTerm("orders", 1, 1);
  }

  LeaseTable leases{ ControlTimings{} };
  Instant now{ 100s };
};

} // namespace

TEST_CASE_METHOD(DrainedLease, "The owner of a drained database gets the next term at once")
{
  CHECK(this->leases.Grant("orders", 1, 2, this->now + 10ms).has_value());
}

// Guards against two processes that acknowledge writes at the same time: the drain was abandoned,
// the owner went on under its lease, and its restarted process got another lease at once.
TEST_CASE_METHOD(DrainedLease, "The lease of a drained owner bars other owners until it ends")
{
  CHECK_FALSE(this->leases.IsFenced("orders", 1, this->now + 1019ms));
  CHECK_FALSE(this->leases.Grant("orders", 2, 1, this->now + 1019ms).has_value());
  CHECK_FALSE(this->leases.Grant("orders", 2, 2, this->now + 1019ms).has_value());
  CHECK(this->leases.IsFenced("orders", 1, this->now + 1020ms));
  CHECK(this->leases.Grant("orders", 2, 1, this->now + 1020ms).has_value());
}

TEST_CASE_METHOD(DrainedLease, "A renewal in the same term takes back the release of the term")
{
  REQUIRE(this->leases.Grant("orders", 1, 1, this->now + 10ms).has_value());
  CHECK_FALSE(this->leases.Grant("orders", 1, 2, this->now + 20ms).has_value());
}
