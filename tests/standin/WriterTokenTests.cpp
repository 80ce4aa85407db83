#include "SlotGroup.hpp"
#include "standin/WriterToken.hpp"

#include <QCoreApplication>

#include <catch2/catch.hpp>

#include <vector>

using namespace oleanderledge::stand_in;

namespace {

void ProcessEvents()
{
  EnsureApplication();
  QCoreApplication::sendPostedEvents();
}

} // namespace

TEST_CASE("Waiters get the writer token in order of arrival")
{
  WriterToken token(nullptr);
  const int first = 0;
  const int second = 0;
  const int third = 0;
  std::vector<int> order;
  REQUIRE(token.TryAcquire(&first));
  CHECK_FALSE(token.TryAcquire(&second));
  token.Enqueue(&second, [&] { order.push_back(2); });
  token.Enqueue(&third, [&] { order.push_back(3); });
  token.Release(&first);
  ProcessEvents();
  CHECK(order == std::vector{ 2 });
  token.Release(&second);
  ProcessEvents();
  CHECK(order == std::vector{ 2, 3 });
}

// Guards against a grant to a session that has timed out or closed.
TEST_CASE("A waiter that leaves the queue is not granted the token")
{
  WriterToken token(nullptr);
  const int first = 0;
  const int second = 0;
  bool granted = false;
  REQUIRE(token.TryAcquire(&first));
  token.Enqueue(&second, [&] { granted = true; });
  token.Release(&first);
  token.Release(&second);
  ProcessEvents();
  CHECK_FALSE(granted);
  CHECK(token.TryAcquire(&first));
}
