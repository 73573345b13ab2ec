/// \file
/// The frames in which proxies relay statements: their size, and the rejection
/// of malformed frames.

#include "Relay/RelayCodec.h"
#include "Common/Codec.h"
#include "FakeLoop.h"

#include <catch2/catch.hpp>
#include <random>
#include <xxhash.h>

using namespace corianderdyke;

namespace {

/// Returns a read at the primary as a proxy sends it through a gateway.
std::vector<RelayMessage> primaryRead() {
  TargetCommand Begin;
  Begin.Operation = TargetCommand::Kind::Begin;
  Begin.Priority = 1;
  Begin.MaxQueueTime = Millis(47);
  TargetCommand Read;
  Read.Id = "5c0e7a21d94b36f8";
  Read.Text = "FETCH 1a4";
  Read.NeedsPrevious = true;
  TargetCommand End;
  End.Operation = TargetCommand::Kind::Rollback;
  return {RelayCommands{77, {Begin, Read, End}}};
}

std::vector<RelayMessage> answersTo(std::string Row) {
  StatementAnswer Opened;
  Opened.Phase = SessionPhase::InTransaction;
  Opened.Position = LogPosition{3, 1209};
  StatementAnswer Result = Opened;
  Result.Rows = {std::move(Row)};
  Result.Signature = "7.1f3.c.2b.90e1c4d2a7b3f655";
  StatementAnswer Ended = Opened;
  Ended.Phase = SessionPhase::Idle;
  return {RelayAnswer{77, 12, Opened, RelayFloor{{3, 1209}, Millis(4)}},
          RelayAnswer{77, 13, Result, std::nullopt},
          RelayAnswer{77, 14, Ended, std::nullopt,
                      ReplicaReport{"b", {3, 1180}, Millis(12)}}};
}

std::string randomLetters(std::size_t Count) {
  std::mt19937_64 Random(3);
  std::string Out;
  while (Out.size() < Count)
    Out.push_back(static_cast<char>('a' + Random() % 26));
  return Out;
}

class CountingStream final : public PeerStream {
public:
  void send(const std::string &Frame) override { Frames.push_back(Frame); }
  std::vector<std::string> Frames;
};

} // namespace

TEST_CASE("A relayed statement takes at most 60 % of its uncompressed size",
          "[relay][load]") {
  // Hosts have 2 Mbit/s, and the gateway of a busy primary relays 280
  // statements a second. Uncompressed, a request and its answers with a row of
  // 1,000 characters take 1,400 bytes on each of two additional links. This
  // adds 11 ms without work and exceeds the capacity of the gateway's link.
  RelayCodec Frames;
  const auto Request = primaryRead();
  const auto Answers = answersTo(randomLetters(1000));
  const std::size_t Uncompressed =
      encode(Request).size() + encode(Answers).size();
  const std::string Sent = Frames.write(Request);
  const std::string Returned = Frames.write(Answers);
  CHECK((Sent.size() + Returned.size()) * 10 <= Uncompressed * 6);
  CHECK(Sent.size() * 2 <= encode(Request).size());
  REQUIRE(Frames.read(Sent).has_value());
  CHECK(*Frames.read(Sent) == Request);
  REQUIRE(Frames.read(Returned).has_value());
  CHECK(*Frames.read(Returned) == Answers);
}

TEST_CASE("Each frame can be decoded without the preceding frames", "[relay]") {
  RelayCodec Writer;
  Writer.write(answersTo(randomLetters(3000)));
  const auto Request = primaryRead();
  const std::string Frame = Writer.write(Request);
  RelayCodec Reader;
  REQUIRE(Reader.read(Frame).has_value());
  CHECK(*Reader.read(Frame) == Request);
}

TEST_CASE("Data that is not a complete frame of this format is rejected",
          "[relay]") {
  // A build with another compression dictionary would decode a message that was
  // never sent, such as an answer to another statement or a write that no
  // caller requested.
  RelayCodec Frames;
  const std::string Good = Frames.write(answersTo(randomLetters(200)));
  CHECK_FALSE(Frames.read("").has_value());
  std::string OtherVersion = Good;
  OtherVersion.front() = static_cast<char>(RelayCodec::FormatVersion - 1);
  CHECK_FALSE(Frames.read(OtherVersion).has_value());
  CHECK_FALSE(Frames.read(encode(primaryRead())).has_value());
  CHECK_FALSE(Frames.read(Good + "x").has_value());
  for (std::size_t Length = 0; Length < Good.size(); ++Length)
    CHECK_FALSE(Frames.read(Good.substr(0, Length)).has_value());
}

TEST_CASE("The compression dictionary matches its format version", "[relay]") {
  // If this fails, the messages or the dictionary have changed. Increment the
  // format version, so that older and newer builds reject each other's frames.
  const std::string Dictionary = RelayCodec::compressionDictionary();
  REQUIRE(RelayCodec::FormatVersion == 4);
  CHECK(XXH64(Dictionary.data(), Dictionary.size(), 0) == 0x94a3ad7a3f85fdc3);
}

TEST_CASE("A report of unreachable targets survives its frame", "[relay]") {
  // Guards against a report that is read as another message, and against an
  // incomplete one that clears the gateway's earlier report.
  RelayCodec Frames;
  const std::vector<RelayMessage> Reports = {
      RelayReach{{"a", "b"}, {{"a", 0}, {"c", 17}}}, RelayPong{}, RelayReach{}};
  const std::string Good = Frames.write(Reports);
  REQUIRE(Frames.read(Good).has_value());
  CHECK(*Frames.read(Good) == Reports);
  for (std::size_t Length = 0; Length < Good.size(); ++Length)
    CHECK_FALSE(Frames.read(Good.substr(0, Length)).has_value());
  const std::string Content = encode(Reports);
  for (std::size_t Length = 0; Length < Content.size(); ++Length)
    CHECK_FALSE(decode<std::vector<RelayMessage>>(Content.substr(0, Length))
                    .has_value());
}

TEST_CASE("Messages of one event loop iteration are sent in one frame",
          "[relay][load]") {
  // Each frame has its own digest and may wake its reader. A read at the
  // primary has three answers.
  FakeLoop Loop;
  FakeHost Host(Loop, "proxy");
  RelayCodec Frames;
  const auto Stream = std::make_shared<CountingStream>();
  RelayOutbox Outbox(Host, Frames);
  Outbox.reset(Stream);
  const auto Answers = answersTo("row");
  for (const RelayMessage &Each : Answers)
    Outbox.send(Each);
  Loop.runFor(Millis(1));
  REQUIRE(Stream->Frames.size() == 1);
  CHECK(*Frames.read(Stream->Frames.front()) == Answers);
}
