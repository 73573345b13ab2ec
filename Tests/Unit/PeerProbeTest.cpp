/// \file
/// The stream to a gateway that was lost: no statement before it answers.

#include "FakeLoop.h"
#include "Relay/RelayClient.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

/// Streams that record what is sent; the test plays the gateway.
class ScriptedStreams final : public PeerStreams {
public:
  struct Opened {
    PeerStreamEvents Events;
    Millis At;
    std::vector<RelayMessage> Sent;
  };

  ScriptedStreams(FakeLoop &Loop, RelayCodec &Frames)
      : Loop(Loop), Frames(Frames) {}

  std::shared_ptr<PeerStream> connect(const Endpoint &,
                                      PeerStreamEvents Events) override {
    class Stream final : public PeerStream {
    public:
      Stream(ScriptedStreams &Owner, std::size_t Index)
          : Owner(Owner), Index(Index) {}
      void send(const std::string &Frame) override {
        const auto Messages = Owner.Frames.read(Frame);
        for (const RelayMessage &Each : *Messages) {
          Owner.All[Index].Sent.push_back(Each);
          if (Owner.AnswersPingsAfter &&
              std::holds_alternative<RelayPing>(Each))
            Owner.Loop.at(Owner.Loop.now() + *Owner.AnswersPingsAfter,
                          [&Owner = Owner, Index = Index] {
                            Owner.receive(Index, {RelayPong{}});
                          });
        }
      }

    private:
      ScriptedStreams &Owner;
      std::size_t Index;
    };
    All.push_back({std::move(Events), Loop.now(), {}});
    return std::make_shared<Stream>(*this, All.size() - 1);
  }
  void setAcceptHandler(OnAccept) override {}

  void receive(std::size_t Index, const std::vector<RelayMessage> &Messages) {
    const auto Handler = All[Index].Events.OnFrame;
    if (Handler)
      Handler(Frames.write(Messages));
  }
  void close(std::size_t Index) {
    std::exchange(All[Index].Events, {}).OnClose();
  }
  /// Number of messages of one kind on all streams.
  template <class Kind> std::size_t count() const {
    std::size_t Out = 0;
    for (const Opened &Stream : All)
      Out += static_cast<std::size_t>(std::count_if(
          Stream.Sent.begin(), Stream.Sent.end(), [](const RelayMessage &Each) {
            return std::holds_alternative<Kind>(Each);
          }));
    return Out;
  }

  std::vector<Opened> All;
  std::optional<Millis> AnswersPingsAfter;

private:
  FakeLoop &Loop;
  RelayCodec &Frames;
};

/// A client whose caller wants a read every 10 ms and sends it if the gateway
/// is available.
struct Setup {
  FakeLoop Loop;
  FakeHost Host{Loop, "proxy"};
  RelayCodec Frames;
  ScriptedStreams Streams{Loop, Frames};
  FloorTable Floors;
  std::vector<bool> Changes;
  RelayClient Client{Host,
                     Host,
                     Streams,
                     Frames,
                     Floors,
                     {"gateway", 7001},
                     nullptr,
                     {true, [this](bool IsReachable) { Changes.push_back(IsReachable); }}};
  std::vector<std::unique_ptr<TargetLink>> Links;
  std::size_t Silences = 0;
  std::size_t Closed = 0;

  ~Setup() {
    Links.clear();
    Loop.clear();
  }

  void read() {
    Links.push_back(Client.open(
        {"ledger", "a", {"a", 5000}},
        {[] {}, [](const StatementAnswer &) {},
         [this](const std::optional<StatementRefusal> &) { ++Closed; },
         [this] { ++Silences; }}));
    Links.back()->send({TargetCommand{.Text = "FETCH x"}});
  }
  void readWheneverAvailable(Millis For) {
    for (const Millis End = Loop.now() + For; Loop.now() < End;
         Loop.runFor(Millis(10))) {
      Client.recordWanted();
      if (Client.isAvailable())
        read();
    }
  }
};

} // namespace

TEST_CASE("A gateway closed after silence gets no statement before it answers",
          "[relay][reach]") {
  // Guards against statements sent into the void, 200 ms each, again and again,
  // for as long as a partition lasts.
  Setup Fixture;
  Fixture.readWheneverAvailable(Millis(1000));
  REQUIRE(Fixture.Changes == std::vector<bool>{false});
  const std::size_t Sent = Fixture.Streams.count<RelayCommands>();
  // Reads of the first 150 ms: until the silence is noticed.
  CHECK(Sent <= 15);
  CHECK(Fixture.Closed == Sent);
  const Millis LostAt = Fixture.Streams.All[1].At - Millis(300);
  Fixture.readWheneverAvailable(Millis(5000));
  CHECK(Fixture.Streams.count<RelayCommands>() == Sent);
  REQUIRE(Fixture.Streams.All.size() >= 5);
  CHECK(Fixture.Streams.All[2].At == LostAt + Millis(900));
  CHECK(Fixture.Streams.All[3].At == LostAt + Millis(2100));
  CHECK(Fixture.Streams.All[4].At == LostAt + Millis(3300));
  for (std::size_t Each = 1; Each < Fixture.Streams.All.size(); ++Each)
    CHECK(Fixture.Streams.All[Each].Sent ==
          std::vector<RelayMessage>{RelayPing{}});
  // It answers again.
  Fixture.Streams.AnswersPingsAfter = Millis(2);
  Fixture.readWheneverAvailable(Millis(1300));
  CHECK(Fixture.Changes == std::vector<bool>{false, true});
  CHECK(Fixture.Client.isAvailable());
  CHECK(Fixture.Streams.count<RelayCommands>() > Sent);
}

TEST_CASE("A gateway that refuses streams is probed, not tried with statements",
          "[relay][reach]") {
  // Guards against a statement per 300 ms to a process that has ended.
  Setup Fixture;
  Fixture.read();
  Fixture.Loop.runFor(Millis(1));
  Fixture.Streams.close(0);
  CHECK(Fixture.Client.isUnreachable());
  Fixture.readWheneverAvailable(Millis(400));
  REQUIRE(Fixture.Streams.All.size() == 2);
  Fixture.Streams.close(1);
  Fixture.readWheneverAvailable(Millis(200));
  CHECK(Fixture.Streams.count<RelayCommands>() == 1);
  CHECK_FALSE(Fixture.Client.isAvailable());
  // The process has restarted, and answers the probe 900 ms after the loss.
  Fixture.Streams.AnswersPingsAfter = Millis(2);
  Fixture.readWheneverAvailable(Millis(400));
  CHECK(Fixture.Changes == std::vector<bool>{false, true});
  CHECK(Fixture.Streams.All.size() == 3);
  CHECK(Fixture.Streams.count<RelayCommands>() > 1);
}

TEST_CASE("A lost gateway that no statement could use is not probed",
          "[relay][reach]") {
  // Guards against endless pings to each proxy that has ever left.
  Setup Fixture;
  Fixture.Client.recordWanted();
  Fixture.read();
  Fixture.Loop.runFor(Millis(30000));
  // Within 2,000 ms after the statement: after 300 and 900 ms.
  CHECK(Fixture.Streams.All.size() == 3);
  CHECK_FALSE(Fixture.Client.isAvailable());
  Fixture.Client.recordWanted();
  Fixture.Loop.runFor(Millis(1));
  CHECK(Fixture.Streams.All.size() == 4);
}

TEST_CASE("A gateway that ends its stream is tried with a statement again",
          "[relay][reach]") {
  // Guards against a longer outage after each restart of a gateway. A process
  // that has died is found out by the first stream that it refuses.
  Setup Fixture;
  Fixture.Streams.AnswersPingsAfter = Millis(2);
  Fixture.read();
  Fixture.Loop.runFor(Millis(10));
  Fixture.Streams.close(0);
  CHECK_FALSE(Fixture.Client.isUnreachable());
  CHECK_FALSE(Fixture.Client.isAvailable());
  Fixture.Loop.runFor(Millis(300));
  CHECK(Fixture.Client.isAvailable());
  Fixture.read();
  Fixture.Loop.runFor(Millis(10));
  CHECK(Fixture.Streams.count<RelayCommands>() == 2);
  CHECK(Fixture.Changes.empty());
}

TEST_CASE("A gateway that is slow but alive keeps its stream",
          "[relay][reach]") {
  // Guards against closing the links, with their statements, of a gateway that
  // answers pings later than usual.
  Setup Fixture;
  Fixture.Streams.AnswersPingsAfter = Millis(2);
  Fixture.read();
  Fixture.Loop.runFor(Millis(20));
  Fixture.Streams.AnswersPingsAfter = Millis(150);
  Fixture.Loop.runFor(Millis(100));
  CHECK(Fixture.Silences > 0);
  CHECK_FALSE(Fixture.Client.isAvailable());
  Fixture.Loop.runFor(Millis(100));
  CHECK(Fixture.Client.isAvailable());
  Fixture.Loop.runFor(Millis(2000));
  CHECK(Fixture.Closed == 0);
  CHECK(Fixture.Streams.All.size() == 1);
  CHECK(Fixture.Changes.empty());
}

TEST_CASE("A near gateway counts as silent sooner than an unknown one",
          "[relay][reach]") {
  // Guards against 120 ms of waiting where an answer usually takes 2 ms.
  const auto TimeToNotice = [](std::optional<Millis> PongAfter) {
    Setup Fixture;
    Fixture.Streams.AnswersPingsAfter = PongAfter;
    Fixture.read();
    Fixture.Loop.runFor(Millis(20));
    Fixture.Streams.AnswersPingsAfter = std::nullopt;
    const Millis Start = PongAfter ? Fixture.Loop.now() - Millis(18)
                                   : Fixture.Loop.now() - Millis(20);
    Fixture.Loop.runUntilTrue([&] { return Fixture.Silences > 0; },
                              Millis(1000));
    return Fixture.Loop.now() - Start;
  };
  CHECK(TimeToNotice(Millis(2)) >= Millis(60));
  CHECK(TimeToNotice(Millis(2)) <= Millis(90));
  CHECK(TimeToNotice(std::nullopt) >= Millis(120));
  CHECK(TimeToNotice(std::nullopt) <= Millis(150));
}

TEST_CASE("A report names the targets for which a gateway is avoided",
          "[relay][reach]") {
  // Guards against statements to a gateway that has said that it cannot serve
  // them, and against the loss of the others by a false or unknown name.
  Setup Fixture;
  Fixture.Streams.AnswersPingsAfter = Millis(2);
  Fixture.read();
  Fixture.Loop.runFor(Millis(10));
  Fixture.Streams.receive(0, {RelayReach{{"a", "no such target"}, {}}});
  CHECK(Fixture.Client.isAvailable());
  CHECK_FALSE(Fixture.Client.reachesTarget("a"));
  CHECK(Fixture.Client.reachesTarget("b"));
  Fixture.Loop.runFor(Millis(999));
  CHECK_FALSE(Fixture.Client.reachesTarget("a"));
  // The report that ends it was lost.
  Fixture.Loop.runFor(Millis(1));
  CHECK(Fixture.Client.reachesTarget("a"));
  Fixture.Streams.receive(0, {RelayReach{{"a"}, {}}});
  Fixture.Streams.receive(0, {RelayReach{}});
  CHECK(Fixture.Client.reachesTarget("a"));
}
