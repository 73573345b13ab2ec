/// \file
/// The frames in which proxies carry each other's statements: what they weigh,
/// and that whatever isn't one of them is refused.

#include "Relay/RelayCodec.h"
#include "Common/Codec.h"
#include "FakeLoop.h"

#include <catch2/catch.hpp>
#include <random>
#include <xxhash.h>

using namespace corianderdyke;

namespace {

/// A read at the leader as a proxy sends it through a gateway.
std::vector<RelayMessage> leaderRead() {
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
          RelayAnswer{77, 14, Ended, std::nullopt}};
}

std::string letters(std::size_t Count) {
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

TEST_CASE("A statement through a gateway weighs three fifths of its plain form",
          "[relay][load]") {
  // Hosts with 2 Mbit/s, 280 statements a second at a busy primary's gateway.
  // Plain, a question and its answers around a row of 1,000 letters are 1,400
  // bytes on each of two more links: 11 ms in which nothing runs, and more
  // than the gateway's link carries.
  RelayCodec Frames;
  const auto Question = leaderRead();
  const auto Answers = answersTo(letters(1000));
  const std::size_t Plain = encode(Question).size() + encode(Answers).size();
  const std::string Sent = Frames.write(Question);
  const std::string Returned = Frames.write(Answers);
  CHECK((Sent.size() + Returned.size()) * 10 <= Plain * 6);
  CHECK(Sent.size() * 2 <= encode(Question).size());
  REQUIRE(Frames.read(Sent).has_value());
  CHECK(*Frames.read(Sent) == Question);
  REQUIRE(Frames.read(Returned).has_value());
  CHECK(*Frames.read(Returned) == Answers);
}

TEST_CASE("Each frame can be read without those before it", "[relay]") {
  RelayCodec Writer;
  Writer.write(answersTo(letters(3000)));
  const auto Question = leaderRead();
  const std::string Frame = Writer.write(Question);
  RelayCodec Reader;
  REQUIRE(Reader.read(Frame).has_value());
  CHECK(*Reader.read(Frame) == Question);
}

TEST_CASE("What isn't a whole frame of this format is refused", "[relay]") {
  // A build with another sample would unpack to something that nobody said: an
  // answer for another statement, a write that no caller sent.
  RelayCodec Frames;
  const std::string Good = Frames.write(answersTo(letters(200)));
  CHECK_FALSE(Frames.read("").has_value());
  std::string Other = Good;
  Other.front() = static_cast<char>(RelayCodec::FormatVersion - 1);
  CHECK_FALSE(Frames.read(Other).has_value());
  CHECK_FALSE(Frames.read(encode(leaderRead())).has_value());
  CHECK_FALSE(Frames.read(Good + "x").has_value());
  for (std::size_t Length = 0; Length < Good.size(); ++Length)
    CHECK_FALSE(Frames.read(Good.substr(0, Length)).has_value());
}

TEST_CASE("The sample is the one of its format", "[relay]") {
  // Where this fails, messages or the sample have changed: raise the format,
  // so that builds before and after refuse each other's frames.
  const std::string Sample = RelayCodec::compressionDictionary();
  REQUIRE(RelayCodec::FormatVersion == 3);
  CHECK(XXH64(Sample.data(), Sample.size(), 0) == 0x8b0d47f98bfaa1bb);
}

TEST_CASE("All that is said within one turn travels in one frame",
          "[relay][load]") {
  // Each frame has a digest of its own and may wake its reader: a read at the
  // leader has three answers.
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
