/// \file
/// Who waits, who is refused and what is sent elsewhere where proxies carry
/// each other's statements and there is more to do than can be done, or
/// gateways are silent.

#include "FakeRelay.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

using Kind = StatementKind;
using Setup = RelaySetup;

/// Streams that nobody answers on; keeps the frames that were sent.
class SilentStreams final : public PeerStreams {
public:
  std::shared_ptr<PeerStream> connect(const Endpoint &,
                                      PeerStreamEvents) override {
    class Stream final : public PeerStream {
    public:
      explicit Stream(std::vector<std::string> &Sent) : Sent(Sent) {}
      void send(const std::string &Frame) override { Sent.push_back(Frame); }

    private:
      std::vector<std::string> &Sent;
    };
    return std::make_shared<Stream>(Sent);
  }
  void setAcceptHandler(OnAccept) override {}

  std::vector<std::string> Sent;
};

} // namespace

TEST_CASE("A silent gateway is asked for a sign of life once",
          "[relay][load]") {
  // It has more to do than it can. Asked again at each look, by hundreds of
  // proxies, it would be kept busy with the questions alone: thousands a
  // second.
  FakeLoop Loop;
  FakeHost Host(Loop, "p");
  SilentStreams Streams;
  RelayCodec Frames;
  FloorTable Floors;
  RelayClient Peer(Host, Host, Streams, Frames, Floors, {"g", 7000});
  const auto Link = Peer.open({"group", "a", {"a", 5000}},
                              {[] {}, [](const StatementAnswer &) {},
                               [](const std::optional<StatementRefusal> &) {}});
  Link->send({{.Operation = TargetCommand::Kind::Run, .Text = "FETCH x"}});
  Loop.runFor(Millis(380));
  std::size_t Pings = 0;
  for (const std::string &Frame : Streams.Sent) {
    const auto Messages = Frames.read(Frame);
    REQUIRE(Messages);
    for (const RelayMessage &Each : *Messages)
      Pings += std::holds_alternative<RelayPing>(Each) ? 1 : 0;
  }
  CHECK(Pings == 1);
  CHECK_FALSE(Peer.isAvailable());
}

TEST_CASE("A frozen gateway costs a read less than its patience twice",
          "[relay]") {
  // A gateway stands still with open streams: nothing is refused and nothing
  // answered. Callers must not wait to their deadlines for it.
  Setup On;
  for (const std::size_t Each : On.System.gateways("a"))
    if (Each != On.System.gateways("a").back())
      On.System.proxy(Each).Host.freeze();
  const std::size_t Proxy = On.System.nonGateway("a");
  const Millis Began = On.Loop.now();
  const auto Session = On.System.connect(Proxy, "primary");
  const auto Answer = On.System.ask(Session, Kind::Read, "r1", "FETCH x");
  CHECK(On.Loop.now() - Began <= Millis(800));
  const auto Again = On.System.ask(Session, Kind::Read, "r2", "FETCH x");
  CHECK_FALSE(Again.Refusal);
  (void)Answer;
}

TEST_CASE("A read whose floor can't be had is tried all the same", "[relay]") {
  // Proxies that have seen no answer of the leader lately ask it for its
  // position first. One of the gateways stands still, and the question through
  // it gets lost. That took longer than a statement may wait in the queue, so
  // the reads behind it were refused, "come back after 0 ms", without a try.
  Setup On(60, 40);
  const std::size_t Frozen = On.System.gateways("a").front();
  On.System.proxy(Frozen).Host.freeze();
  std::vector<FakeRelaySystem::Session> Sessions;
  for (std::size_t Proxy = 0; Proxy < 60; ++Proxy) {
    if (Proxy == Frozen)
      continue;
    Sessions.push_back(On.System.connect(Proxy, "bounded"));
    On.System.send(Sessions.back(), Kind::Read, "r" + std::to_string(Proxy),
                   "FETCH x");
  }
  On.Loop.runFor(Millis(300));
  for (const auto &Each : Sessions) {
    REQUIRE(Each.Caller->Answers.size() == 1);
    INFO((Each.Caller->last().Refusal ? Each.Caller->last().Refusal->Reason
                                      : ""));
    CHECK_FALSE(Each.Caller->last().Refusal);
  }
}

TEST_CASE("Half of all proxies gone, the others' reads are served in time",
          "[relay][load]") {
  // Thirty of sixty proxies lose power without a word. To each of the others
  // every dead gateway is news: nearly all statements through one are the first
  // to meet it. Held until the gateway is given up, their callers would be
  // refused after 250 to 400 ms; sent once more through another, reads are
  // answered within 200 ms. Writes wait: they may have run.
  Setup On(60, 40);
  std::vector<FakeRelaySystem::Session> Sessions;
  for (std::size_t Proxy = 0; Proxy < 60; ++Proxy)
    Sessions.push_back(On.System.connect(Proxy, "own"));
  for (int Round = 0; Round < 40; ++Round) {
    for (const auto &Each : Sessions)
      On.System.send(Each, Kind::Read, "warm", "FETCH x");
    On.Loop.runFor(Millis(50));
  }
  for (std::size_t Proxy = 0; Proxy < 60; Proxy += 2)
    On.System.proxy(Proxy).Host.freeze();
  std::size_t Sent = 0;
  std::size_t InTime = 0;
  for (int Round = 0; Round < 4; ++Round) {
    std::vector<std::size_t> Before;
    for (std::size_t Proxy = 1; Proxy < 60; Proxy += 2) {
      Before.push_back(Sessions[Proxy].Caller->Answers.size());
      On.System.send(Sessions[Proxy], Kind::Read,
                     "r" + std::to_string(Round) + "-" + std::to_string(Proxy),
                     "FETCH x");
    }
    On.Loop.runFor(Millis(200));
    for (std::size_t Each = 0; Each < Before.size(); ++Each) {
      const auto &Answers = Sessions[2 * Each + 1].Caller->Answers;
      ++Sent;
      InTime += Answers.size() > Before[Each] && !Answers.back().Refusal;
    }
  }
  CHECK(InTime * 10 >= Sent * 9);
}

TEST_CASE("Reads aren't sent twice while answers are slow everywhere",
          "[relay][load]") {
  // Far more comes than can be done: answers take five times as long from all,
  // and some gateways don't even say that they live. Sent once more elsewhere,
  // the reads that wait for them would be load on top of that, and so on until
  // nothing is answered in time any more.
  Setup On(60, 40);
  std::vector<FakeRelaySystem::Session> Sessions;
  for (std::size_t Proxy = 1; Proxy < 60; Proxy += 2)
    Sessions.push_back(On.System.connect(Proxy, "own"));
  const auto SendAll = [&](Millis Pause) {
    for (const auto &Each : Sessions)
      On.System.send(Each, Kind::Read, "r", "FETCH x");
    On.Loop.runFor(Pause);
  };
  for (int Round = 0; Round < 40; ++Round)
    SendAll(Millis(50));
  On.Group.ExecutionTime = On.Group.ExecutionTime * 5;
  for (int Round = 0; Round < 40; ++Round)
    SendAll(Millis(50));
  for (std::size_t Proxy = 0; Proxy < 60; Proxy += 2)
    On.System.proxy(Proxy).Host.freeze();
  const auto Retries = [&] {
    std::size_t Out = 0;
    for (std::size_t Proxy = 1; Proxy < 60; Proxy += 2)
      Out += On.System.proxy(Proxy).Pipeline.counts().Retries;
    return Out;
  };
  const std::size_t Before = Retries();
  SendAll(Millis(200));
  // At most one in twenty.
  CHECK((Retries() - Before) * 20 <= Sessions.size());
}

TEST_CASE("A gateway that is silent though asked gets nothing new", "[relay]") {
  // One of two gateways stands still. Two reads went out, one of them through
  // it. A quarter of a second later, before its silence is long enough to end
  // what it holds, more come: each that still went there would wait as long.
  Setup On;
  const std::size_t Proxy = On.System.nonGateway("a");
  const auto Early = On.System.connect(Proxy, "primary");
  const auto Other = On.System.connect(Proxy, "primary");
  On.System.ask(Early, Kind::Read, "e1", "FETCH x");
  On.System.ask(Other, Kind::Read, "o1", "FETCH x");
  On.System.proxy(On.System.gateways("a").front()).Host.freeze();
  On.System.send(Early, Kind::Read, "e2", "FETCH x");
  On.System.send(Other, Kind::Read, "o2", "FETCH x");
  On.Loop.runFor(Millis(250));
  std::vector<FakeRelaySystem::Session> Late;
  for (int Each = 0; Each < 10; ++Each) {
    Late.push_back(On.System.connect(Proxy, "primary"));
    On.System.send(Late.back(), Kind::Read, "l" + std::to_string(Each),
                   "FETCH x");
  }
  On.Loop.runFor(Millis(60));
  std::size_t Served = 0;
  for (const auto &Each : Late)
    for (const StatementAnswer &Answer : Each.Caller->Answers)
      Served += Answer.Refusal ? 0 : 1;
  CHECK(Served == Late.size());
}

TEST_CASE("What waits too long for a connection is refused, truly not run",
          "[relay]") {
  // Transactions hold every connection. A write waits at the gateway, its
  // caller is told that it didn't run, and goes elsewhere: it must never run
  // here once a connection comes free.
  Setup On(12, 4);
  std::vector<FakeRelaySystem::Session> Holders;
  for (std::size_t Each = 0; Each < 12; ++Each) {
    Holders.push_back(On.System.connect(Each, "primary"));
    On.System.send(Holders.back(), Kind::Begin);
    On.System.send(Holders.back(), Kind::Write, "h" + std::to_string(Each),
                   "STORE x 1");
  }
  On.Loop.runFor(Millis(300));
  REQUIRE(On.Group.Servers["a"].OpenConnections == 4);
  const auto Late = On.System.connect(On.System.nonGateway("a"), "primary");
  const Millis Began = On.Loop.now();
  const auto Answer = On.System.ask(Late, Kind::Write, "w1", "STORE x 1");
  REQUIRE(Answer.Refusal);
  CHECK(Answer.Refusal->Code == RefusalCode::Busy);
  CHECK(On.Loop.now() - Began < Millis(500));
  for (const auto &Each : Holders)
    On.System.send(Each, Kind::Rollback);
  On.Loop.runFor(Millis(3000));
  CHECK(On.Group.runs("w1") == 0);
}

TEST_CASE("A statement that waits is refused while its caller has time left",
          "[relay]") {
  // A burst: far more statements than the primary's connections carry. Held
  // to the end of their times, all of them would be late or lost; refused
  // after their objective, callers can still try elsewhere.
  Setup On(12, 4);
  On.Group.ExecutionTime = Millis(40);
  const auto Sessions = On.sendWrites(60);
  On.Loop.runFor(Millis(200));
  std::size_t Answered = 0;
  for (std::size_t Each = 0; Each < 60; ++Each) {
    Answered += Sessions[Each].Caller->Answers.size();
    for (const StatementAnswer &Answer : Sessions[Each].Caller->Answers)
      if (Answer.Refusal)
        CHECK(On.Group.runs("w" + std::to_string(Each)) == 0);
  }
  CHECK(Answered >= 55);
}

TEST_CASE("Gateways open nothing while the target has all that it takes",
          "[relay][load]") {
  // Everything has just started and all callers come at once. Each new
  // connection takes a slot for as long as several statements do, and with the
  // slots taken it has nothing to carry: callers would wait for it in vain.
  Setup On(60, 40);
  On.Group.ExecutionTime = Millis(40);
  const auto Sessions = On.sendWrites(180);
  const std::size_t Before = On.Group.Servers["a"].ConnectionAttempts;
  On.Loop.runFor(Millis(200));
  const std::size_t Gateways = On.System.gateways("a").size();
  CHECK(On.Group.Servers["a"].ConnectionAttempts - Before <= Gateways);
  // Transactions that rest hold connections without keeping the target busy:
  // then others are opened.
  for (const auto &Each : Sessions) {
    On.System.send(Each, Kind::Begin);
    On.System.send(Each, Kind::Write, "t", "STORE x 1");
  }
  On.Loop.runFor(Millis(1000));
  CHECK(On.Group.Servers["a"].OpenConnections > Gateways * 3);
}

TEST_CASE("Many refused at once at a gateway get one answer each", "[relay]") {
  // The gateway's own callers begin transactions while it can't reach the
  // target. Each opening is refused within the call that sent it, and the
  // connection goes to the next that waits, who is refused as well; the
  // answers still owed to the first must not be told to its caller.
  Setup On;
  const std::size_t Gateway = On.System.gateways("a").front();
  for (std::size_t Each = 0; Each < 12; ++Each)
    On.System.proxy(Each).Access.Cut = {"a"};
  On.Loop.runFor(Millis(500));
  On.Group.Servers["a"].IsUp = false;
  std::vector<FakeRelaySystem::Session> Sessions;
  for (int Round = 0; Round < 20; ++Round) {
    for (int Each = 0; Each < 6; ++Each) {
      Sessions.push_back(On.System.connect(Gateway, "primary"));
      const std::string Id = std::to_string(Round) + "-" + std::to_string(Each);
      if (Each % 3 == 0) {
        On.System.send(Sessions.back(), Kind::Write, "w" + Id, "STORE x 1");
      } else {
        On.System.send(Sessions.back(), Kind::Begin);
        On.System.send(Sessions.back(), Kind::Read, "r" + Id, "FETCH x");
      }
    }
    On.Loop.runFor(Millis(35));
  }
  On.Loop.runFor(Millis(3000));
  for (std::size_t Each = 0; Each < Sessions.size(); ++Each) {
    const auto &Answers = Sessions[Each].Caller->Answers;
    const std::size_t Expected = Each % 6 % 3 == 0 ? 1 : 2;
    CHECK(Answers.size() == Expected);
  }
}
