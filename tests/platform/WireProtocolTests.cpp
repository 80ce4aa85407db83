#include "oleanderledge/platform/platform.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace oleanderledge;
using namespace oleanderledge::platform;

namespace {

std::vector<CallerMessage> DecodeAll(CallerDecoder& aDecoder)
{
  std::vector<CallerMessage> messages;
  while (auto next = aDecoder.Next()) {
    REQUIRE(*next);
    messages.push_back(std::move(next->value()));
  }
  return messages;
}

Statement DecodeStatement(const std::string& aText)
{
  const auto decoder = WireProtocol().NewCallerDecoder();
  decoder->Append("QUERY 1f " + aText + "\r\n");
  const auto messages = DecodeAll(*decoder);
  REQUIRE(messages.size() == 1);
  return std::get<Statement>(messages.front());
}

} // namespace

TEST_CASE("Statements are recognised by their text", "[wire]")
{
  CHECK(DecodeStatement("BEGIN").kind == StatementKind::Begin);
  CHECK(DecodeStatement("BEGIN READ").kind == StatementKind::BeginRead);
  CHECK(DecodeStatement("READ 1a4").kind == StatementKind::Read);
  CHECK(DecodeStatement("COMMIT").kind == StatementKind::Commit);
  const Statement write = DecodeStatement("WRITE 1a4 some data");
  CHECK(write.kind == StatementKind::Write);
  CHECK(write.text == "WRITE 1a4 some data");
  const Statement prepare = DecodeStatement("PREPARE s1 WRITE q2c");
  CHECK(prepare.kind == StatementKind::Prepare);
  CHECK(prepare.writes);
  CHECK(prepare.argument == "q2c");
  const Statement execute = DecodeStatement("EXECUTE s1 1a4 data");
  CHECK(execute.name == "s1");
  CHECK(execute.argument == "1a4 data");
}

// Guards against callers that send commands reserved for the proxy (such as AWAIT or STATUS), or a
// statement with missing or additional words.
TEST_CASE("Statements that callers may not send are malformed", "[wire]")
{
  for (const char* text : { "AWAIT 3.1 READ 1a4",
                            "STATUS",
                            "PAUSE 9",
                            "STEPDOWN 9",
                            "DISCARD",
                            "COMMIT now",
                            "BEGIN WRITE",
                            "READ",
                            "READ 1 2",
                            "WRITE 1",
                            "PREPARE s1 DROP q",
                            "",
                            " " }) {
    CHECK(DecodeStatement(text).kind == StatementKind::Malformed);
  }
}

TEST_CASE("Messages are decoded however the stream is split", "[wire]")
{
  rc::prop("for any split", [] {
    const std::string stream = "STARTUP lepu270 u3f1\r\nQUERY 5c READ 1a4\r\nTERMINATE\r\n";
    const auto decoder = WireProtocol().NewCallerDecoder();
    std::vector<CallerMessage> messages;
    std::size_t start = 0;
    while (start < stream.size()) {
      const auto length = *rc::gen::inRange<std::size_t>(1, 9);
      decoder->Append(std::string_view(stream).substr(start, length));
      start += length;
      while (auto next = decoder->Next()) {
        RC_ASSERT(next->has_value());
        messages.push_back(std::move(next->value()));
      }
    }
    RC_ASSERT(messages.size() == 3U);
    RC_ASSERT(std::get<StartUp>(messages[0]).database == "lepu270");
    RC_ASSERT(std::get<Statement>(messages[1]).id == "5c");
    RC_ASSERT(std::holds_alternative<Terminate>(messages[2]));
  });
}

TEST_CASE("A stream that is not a sequence of messages is refused", "[wire]")
{
  for (const std::string& stream : { std::string("QUERY 1 READ 2\n"),
                                     std::string("HELLO you\r\n"),
                                     std::string("QUERY 1 READ\rCOMMIT\r\n"),
                                     std::string("QUERY  READ 1\r\n"),
                                     std::string("QUERY 1 READ \0x\r\n", 17),
                                     std::string(kMaxLineBytes + 1, 'x') }) {
    const auto decoder = WireProtocol().NewCallerDecoder();
    decoder->Append(stream);
    const auto next = decoder->Next();
    REQUIRE(next);
    CHECK_FALSE(*next);
  }
}

// Guards against a wrong count of what a client has sent, which would spare or close the wrong one.
TEST_CASE("Bytes that belong to no message yet are counted and can be discarded", "[wire]")
{
  const auto decoder = WireProtocol().NewCallerDecoder();
  CHECK(decoder->BufferedBytes() == 0);
  decoder->Append("QUERY 1 READ a\r\nQUERY 2 R");
  REQUIRE(decoder->Next());
  CHECK(decoder->BufferedBytes() == 9);
  CHECK_FALSE(decoder->Next());
  decoder->Append("EAD b\r\n");
  const auto second = decoder->Next();
  REQUIRE(second);
  CHECK(std::get<Statement>(second->value()).text == "READ b");
  CHECK(decoder->BufferedBytes() == 0);
  decoder->Append("half of a me");
  decoder->Clear();
  CHECK(decoder->BufferedBytes() == 0);
  decoder->Append("TERMINATE\r\n");
  CHECK(decoder->Next());
}

TEST_CASE("Answers of backend servers are decoded and kept as received", "[wire]")
{
  const auto decoder = WireProtocol().NewBackendDecoder();
  decoder->Append(
    "DATAROW a b\r\nCOMPLETE 7.1f\r\nREADY T 3.1209\r\nERROR LAGGING i-1\r\nREADY I -\r\n");
  CHECK(std::get<RowAnswer>(decoder->Next()->value()).raw == "DATAROW a b\r\n");
  CHECK(std::get<CompletedAnswer>(decoder->Next()->value()).raw == "COMPLETE 7.1f\r\n");
  const auto ready = std::get<ReadyAnswer>(decoder->Next()->value());
  CHECK(ready.state == TransactionState::Open);
  CHECK(ready.position == LogPosition{ 3, 1209 });
  CHECK(std::get<ErrorAnswer>(decoder->Next()->value()).error == StatementError::Lagging);
  CHECK_FALSE(std::get<ReadyAnswer>(decoder->Next()->value()).position);
}

TEST_CASE("The received position and the role are read from a status row", "[wire]")
{
  const WireProtocol protocol;
  const auto replica = protocol.ParseStatus("DATAROW replica 3 3.1209 0 12 2 17\r\n");
  REQUIRE(replica);
  CHECK(replica->received == LogPosition{ 3, 1209 });
  CHECK_FALSE(replica->leads);
  const auto primary = protocol.ParseStatus("DATAROW primary 3 3.1210 0 12 2 17\r\n");
  REQUIRE(primary);
  CHECK(primary->received == LogPosition{ 3, 1210 });
  CHECK(primary->leads);
  CHECK_FALSE(protocol.ParseStatus("DATAROW replica 3 - 0 12 2 17\r\n"));
  CHECK_FALSE(protocol.ParseStatus(""));
}

TEST_CASE("A witness is asked by a read-only transaction at a position", "[wire]")
{
  const WireProtocol protocol;
  CHECK(protocol.BeginReadAt({ 3, 7 }) == "QUERY - AWAIT 3.7 BEGIN READ\r\n");
}

TEST_CASE("Forwarded statements keep their id and text", "[wire]")
{
  const WireProtocol protocol;
  CHECK(protocol.Forward("5c", "READ 1a4", LogPosition{ 3, 7 }) ==
        "QUERY 5c AWAIT 3.7 READ 1a4\r\n");
  CHECK(protocol.Forward("5c", "COMMIT", std::nullopt) == "QUERY 5c COMMIT\r\n");
  CHECK(protocol.Begin() == "QUERY - BEGIN\r\n");
}
