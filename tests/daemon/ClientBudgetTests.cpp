#include "oleanderledge/daemon/ClientBudget.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

// Guards against a process that holds more for its clients than its machine has.
TEST_CASE("Limits of a process follow from its memory and descriptors", "[client_budget]")
{
  ProxyLimits limits;
  limits.memoryMb = 112;
  limits.fileDescriptors = 3010;
  const BudgetLimits smallest = BudgetLimitsOf(limits);
  CHECK(smallest.bytes == 24'000'000);
  CHECK(smallest.connections == 2256);
  limits.memoryMb = 160;
  limits.fileDescriptors = 4300;
  CHECK(BudgetLimitsOf(limits).bytes == 48'000'000);
  CHECK(BudgetLimitsOf(limits).connections == 3225);
  limits.totalBytes = 5'000'000;
  limits.maxCallers = 100;
  CHECK(BudgetLimitsOf(limits).bytes == 5'000'000);
  CHECK(BudgetLimitsOf(limits).connections == 100);
}

// Guards against an underflow on a machine with less memory than a process without clients uses.
TEST_CASE("A small machine leaves room for a few messages", "[client_budget]")
{
  ProxyLimits limits;
  limits.memoryMb = 1;
  CHECK(BudgetLimitsOf(limits).bytes == 8'388'608);
}
