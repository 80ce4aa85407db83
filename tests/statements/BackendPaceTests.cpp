#include "oleanderledge/statements/statements.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ 100s };

/// A pace that has started, at a proxy that may hold 16 connections.
class StartedPace
{
public:
  StartedPace() { this->pace.Start(kStart); }

  void AnswerAfter(Duration aTook) { this->pace.OnSuccess(aTook, this->inUse, 16, this->now); }
  /// Concurrent statements of this priority that the pace allows.
  std::size_t Allowed(std::uint32_t aPriority) const
  {
    std::size_t allowed = 0;
    while (allowed < 100 && this->pace.Allows(allowed, aPriority, this->now)) {
      ++allowed;
    }
    return allowed;
  }

  BackendPace pace;
  std::size_t inUse = 16; ///< Statements at the server.
  Instant now = kStart;
};

} // namespace

// Guards against a limit where none was asked for.
TEST_CASE("A pace that was not started allows everything", "[pace]")
{
  BackendPace pace;
  CHECK(pace.Allows(1000, 1, kStart));
  pace.OnOverload(20ms, 1, kStart);
  pace.OnSuccess(500ms, 1, 16, kStart);
  pace.CheckTime(kStart + 20s);
  CHECK_FALSE(pace.IsActive());
  CHECK(pace.Allows(1000, 1, kStart));
}

TEST_CASE_METHOD(StartedPace, "The limit doubles with each round of quick answers", "[pace]")
{
  CHECK(this->Allowed(1) == 1);
  CHECK(this->Allowed(0) == 3);
  CHECK_FALSE(this->pace.HasGoodAnswer());
  std::size_t answers = 0;
  for (const std::size_t limit : { 2U, 4U, 8U, 16U }) {
    for (; answers + 1 < limit; ++answers) {
      this->AnswerAfter(20ms);
    }
    CHECK(this->Allowed(1) == limit);
  }
  CHECK(this->pace.HasGoodAnswer());
  this->AnswerAfter(20ms);
  CHECK_FALSE(this->pace.IsActive());
}

// Guards against a limit that one full queue of the server, or one slow moment, reduces to nothing.
TEST_CASE_METHOD(StartedPace, "Bad signs of one round trip reduce the limit once", "[pace]")
{
  for (int answer = 0; answer < 7; ++answer) {
    this->AnswerAfter(20ms);
  }
  REQUIRE(this->Allowed(1) == 8);
  this->now += 1s;
  for (int rejection = 0; rejection < 5; ++rejection) {
    this->pace.OnOverload(20ms, this->inUse, this->now);
  }
  CHECK(this->Allowed(1) == 4);
  this->now += 100ms;
  this->AnswerAfter(340ms);
  CHECK(this->Allowed(1) == 4);
  this->now += 1s;
  this->AnswerAfter(340ms);
  CHECK(this->Allowed(1) == 2);
}

// Guards against a limit that stays far above what a proxy uses, and takes many round trips to have
// an effect.
TEST_CASE_METHOD(StartedPace, "A decrease starts from the statements at the server", "[pace]")
{
  for (int answer = 0; answer < 15; ++answer) {
    this->AnswerAfter(20ms);
  }
  REQUIRE(this->Allowed(1) == 16);
  this->now += 2s;
  this->inUse = 4;
  this->AnswerAfter(1300ms);
  CHECK(this->pace.Size() == 1);
}

TEST_CASE_METHOD(StartedPace, "An answer between quick and slow keeps the limit", "[pace]")
{
  this->AnswerAfter(20ms);
  REQUIRE(this->Allowed(1) == 2);
  this->AnswerAfter(161ms);
  this->AnswerAfter(320ms);
  CHECK(this->Allowed(1) == 2);
  CHECK(this->pace.HasGoodAnswer());
}

// Guards against 82 proxies that send one statement each to a server that can run 5.
TEST_CASE_METHOD(StartedPace, "A limit below one is a pause between two statements", "[pace]")
{
  this->pace.OnOverload(200ms, 1, this->now);
  REQUIRE(this->pace.Size() == 0.5);
  CHECK(this->Allowed(1) == 0);
  CHECK(this->Allowed(0) == 2);
  this->now += 199ms;
  CHECK(this->Allowed(1) == 0);
  this->now += 1ms;
  CHECK(this->Allowed(1) == 1);
  for (int rejection = 0; rejection < 10; ++rejection) {
    this->now += 1s;
    this->pace.OnOverload(1s, 1, this->now);
  }
  CHECK(this->Allowed(1) == 0);
  // Guards against a server that is left idle because it was slow before.
  this->now += 400ms;
  CHECK(this->Allowed(1) == 1);
  for (int answer = 0; answer < 4; ++answer) {
    this->AnswerAfter(20ms);
  }
  CHECK(this->pace.Size() == 1);
}

// Guards against statements that take long by nature and hold the limit down.
TEST_CASE_METHOD(StartedPace, "Long answers are good if there are no quicker ones", "[pace]")
{
  this->AnswerAfter(500ms);
  this->AnswerAfter(500ms);
  CHECK(this->Allowed(1) == 3);
  this->AnswerAfter(900ms);
  CHECK(this->Allowed(1) == 3);
}

TEST_CASE_METHOD(StartedPace,
                 "The limit is lifted after a time without signs of overload",
                 "[pace]")
{
  this->pace.CheckTime(kStart + 2900ms);
  CHECK(this->pace.IsActive());
  this->now += 2900ms;
  this->pace.OnOverload(20ms, this->inUse, this->now);
  this->pace.CheckTime(kStart + 3s);
  CHECK(this->pace.IsActive());
  for (; this->now < kStart + 9900ms; this->now += 500ms) {
    this->pace.OnOverload(20ms, this->inUse, this->now);
  }
  this->pace.CheckTime(kStart + 9900ms);
  CHECK(this->pace.IsActive());
  this->pace.CheckTime(kStart + 10s);
  CHECK_FALSE(this->pace.IsActive());
}
