#include "oleanderledge/wire/wire.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace oleanderledge;

namespace {

constexpr std::size_t kMaxMessageBytes = 1024;

} // namespace

// Guards against waiting for and buffering a body that is refused in the end.
TEST_CASE("An oversized message is refused when its length arrives")
{
  MessageReader reader(kMaxMessageBytes);
  reader.Feed(std::string_view("Q\x7F\xFF\xFF\xFF", 5));
  const auto next = reader.NextTyped();
  REQUIRE(!next);
  CHECK(next.error().code == ResultCode::MessageTooLarge);
}

TEST_CASE("A message length below its own size is a protocol violation")
{
  MessageReader reader(kMaxMessageBytes);
  reader.Feed(std::string_view("Q\0\0\0\3", 5));
  const auto next = reader.NextTyped();
  REQUIRE(!next);
  CHECK(next.error().code == ResultCode::ProtocolViolation);
}

TEST_CASE("Messages are reassembled wherever the stream is split")
{
  rc::prop("three messages fed in two parts", [] {
    const std::string stream = BuildQuery("SELECT 1") + BuildSync() + BuildQuery("");
    const auto cut = *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
    MessageReader reader(kMaxMessageBytes);
    std::string joined;
    for (const std::string& part : { stream.substr(0, cut), stream.substr(cut) }) {
      reader.Feed(part);
      for (auto next = reader.NextTyped().value(); next; next = reader.NextTyped().value()) {
        joined += *next;
      }
    }
    RC_ASSERT(joined == stream);
    RC_ASSERT(SplitMessages(stream).size() == 3U);
  });
}

// Guards against reads past the end of a truncated body.
TEST_CASE("Random bodies are read without a crash")
{
  rc::prop("error fields and data rows of random bytes", [](const std::string& aBytes) {
    ReadErrorFields(aBytes);
    ReadDataRow(aBytes);
    SplitMessages(aBytes);
  });
}

TEST_CASE("A data row distinguishes NULL from an empty value")
{
  const std::vector<std::optional<std::string>> values = { "a", std::nullopt, "" };
  const std::string message = BuildDataRow(values);
  CHECK(ReadDataRow(SplitMessages(message).at(0).body) == values);
}
