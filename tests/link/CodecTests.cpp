#include "oleanderledge/link/link.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace oleanderledge;

namespace {

StatementRequest ExampleRequest()
{
  StatementRequest request;
  request.channel = 7;
  request.database = "orders-1";
  request.acceptedAgeMs = -1;
  request.settings = { { "TimeZone", "UTC" } };
  request.prepared = { { "s1", std::string("P\0\0\0\4", 5) } };
  request.payload = std::string("Q\0\0\0\5\0", 6);
  return request;
}

/// A function of its own, because RC_ASSERT evaluates both sides of `||`.
bool IsMessageOrMalformed(const Result<Message>& aDecoded)
{
  return aDecoded.has_value() || aDecoded.error().code == ResultCode::MalformedFrame;
}

} // namespace

TEST_CASE("A message survives encoding and decoding")
{
  const std::string frame = EncodeFrame(ExampleRequest());
  const auto decoded = DecodeFrameBody(std::string_view(frame).substr(4));
  REQUIRE(decoded);
  const auto& request = std::get<StatementRequest>(decoded.value());
  CHECK(request.channel == 7);
  CHECK(request.acceptedAgeMs == -1);
  CHECK(request.settings.at(0).name == "TimeZone");
  CHECK(request.prepared.at(0).parseMessage.size() == 5);
  CHECK(request.payload == ExampleRequest().payload);
}

// Guards against members that cannot elect a leader while only some of them run this version.
TEST_CASE("VoteReplyOfEarlierVersion: decodes without a reason")
{
  const std::string body = EncodeFrame(VoteReply{ 3, "b", false, true }).substr(4);
  const std::size_t fields = body.find('\x95');
  REQUIRE(fields != std::string::npos);
  REQUIRE(body.back() == '\0');
  std::string earlier = body.substr(0, body.size() - 1);
  earlier[fields] = '\x94';
  const auto decoded = DecodeFrameBody(earlier);
  REQUIRE(decoded);
  const auto& reply = std::get<VoteReply>(decoded.value());
  CHECK(reply.voter == "b");
  CHECK(reply.preVote);
  CHECK(reply.refusal == VoteRefusal::Unknown);
}

// Guards against a group that loses contact while its members are updated one by one.
TEMPLATE_TEST_CASE("A request of a version that names no recipient is accepted",
                   "",
                   VoteRequest,
                   AppendRequest,
                   SnapshotRequest)
{
  TestType request;
  request.term = 3;
  request.recipient = "m1";
  const auto decoded = DecodeFrameBody(std::string_view(EncodeFrame(request)).substr(4));
  REQUIRE(decoded);
  CHECK(std::get<TestType>(decoded.value()).recipient == "m1");
  // The earlier version encodes the same fields without the last one, which is two bytes if empty.
  request.recipient.clear();
  std::string body = EncodeFrame(request).substr(4);
  constexpr std::size_t kFieldCountAt = 2;
  REQUIRE((static_cast<unsigned char>(body[kFieldCountAt]) & 0xF0U) == 0x90U);
  --body[kFieldCountAt];
  body.resize(body.size() - 2);
  const auto earlier = DecodeFrameBody(body);
  REQUIRE(earlier);
  CHECK(std::get<TestType>(earlier.value()).term == 3);
  CHECK(std::get<TestType>(earlier.value()).recipient.empty());
}

// Guards against crashes and unbounded allocation on malicious or damaged input.
TEST_CASE("Damaged frames are rejected without a crash")
{
  rc::prop("one changed byte gives an error or a message", [] {
    std::string frame = EncodeFrame(ExampleRequest()).substr(4);
    const auto at = *rc::gen::inRange<std::size_t>(0, frame.size());
    frame[at] = *rc::gen::arbitrary<char>();
    const auto decoded = DecodeFrameBody(frame);
    RC_ASSERT(IsMessageOrMalformed(decoded));
  });
  rc::prop("random bytes give an error or a message", [](const std::string& aBytes) {
    const auto decoded = DecodeFrameBody(aBytes);
    RC_ASSERT(IsMessageOrMalformed(decoded));
  });
}

// Guards against a peer that exhausts memory by sending a huge frame length.
TEST_CASE("A frame over the size limit is refused before its body arrives")
{
  FrameReader reader;
  reader.Feed(std::string("\x7F\xFF\xFF\xFF", 4));
  const auto next = reader.Next();
  REQUIRE(!next);
  CHECK(next.error().code == ResultCode::FrameTooLarge);
}

TEST_CASE("Frames are reassembled wherever the stream is split")
{
  rc::prop("two frames fed in two parts", [] {
    const std::string stream = EncodeFrame(LinkPing{ 5 }) + EncodeFrame(CloseChannel{ 9 });
    const auto cut = *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
    FrameReader reader;
    int frames = 0;
    for (const std::string& part : { stream.substr(0, cut), stream.substr(cut) }) {
      reader.Feed(part);
      while (reader.Next().value()) {
        ++frames;
      }
    }
    RC_ASSERT(frames == 2);
  });
}
