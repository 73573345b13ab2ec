/// \file
/// Queueing, refusal and retries of relayed statements under overload or when
/// gateways do not answer.

#include "Common/TextHash.h"
#include "FakeRelay.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

using Kind = StatementKind;
using Setup = RelaySetup;

/// Streams without a responding peer, which record the frames sent on them.
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

TEST_CASE("A gateway that does not answer is pinged once", "[relay][load]") {
  // The gateway is overloaded. If hundreds of proxies sent a ping at each
  // check, thousands of pings a second would take all of its time.
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

TEST_CASE("A frozen gateway delays a read by at most 800 ms", "[relay]") {
  // Gateways hang with open streams, so statements are neither refused nor
  // answered. Callers must not wait for them until their deadlines.
  Setup Fixture;
  for (const std::size_t Each : Fixture.System.gateways("a"))
    if (Each != Fixture.System.gateways("a").back())
      Fixture.System.proxy(Each).Host.freeze();
  const std::size_t Proxy = Fixture.System.nonGateway("a");
  const Millis Start = Fixture.Loop.now();
  const auto Session = Fixture.System.connect(Proxy, "primary");
  const auto Answer = Fixture.System.ask(Session, Kind::Read, "r1", "FETCH x");
  CHECK(Fixture.Loop.now() - Start <= Millis(800));
  const auto Again = Fixture.System.ask(Session, Kind::Read, "r2", "FETCH x");
  CHECK_FALSE(Again.Refusal);
  (void)Answer;
}

TEST_CASE("A read whose floor cannot be determined is still tried", "[relay]") {
  // Proxies without a recent answer from the primary request its position
  // first. One of the gateways hangs, so requests through it are lost. Guards
  // against waiting for such a request longer than a statement may be queued:
  // the reads behind it are then refused untried with a retry delay of 0 ms.
  Setup Fixture(60, 40);
  const std::size_t Frozen = Fixture.System.gateways("a").front();
  Fixture.System.proxy(Frozen).Host.freeze();
  std::vector<FakeRelaySystem::Session> Sessions;
  for (std::size_t Proxy = 0; Proxy < 60; ++Proxy) {
    if (Proxy == Frozen)
      continue;
    Sessions.push_back(Fixture.System.connect(Proxy, "bounded"));
    Fixture.System.send(Sessions.back(), Kind::Read,
                        "r" + std::to_string(Proxy), "FETCH x");
  }
  Fixture.Loop.runFor(Millis(300));
  for (const auto &Each : Sessions) {
    REQUIRE(Each.Caller->Answers.size() == 1);
    INFO((Each.Caller->last().Refusal ? Each.Caller->last().Refusal->Reason
                                      : ""));
    CHECK_FALSE(Each.Caller->last().Refusal);
  }
}

TEST_CASE("Reads are served in time when half of all proxies crash",
          "[relay][load]") {
  // Thirty of sixty proxies lose power without closing their connections. Each
  // other proxy has to detect every failed gateway itself, so nearly every
  // statement through one is the first to fail. If reads waited until the
  // gateway is considered failed, they would be refused after 250 to 400 ms.
  // Retried through another gateway, they are answered within 200 ms. Writes
  // are not retried, because they may have been executed.
  Setup Fixture(60, 40);
  std::vector<FakeRelaySystem::Session> Sessions;
  for (std::size_t Proxy = 0; Proxy < 60; ++Proxy)
    Sessions.push_back(Fixture.System.connect(Proxy, "own"));
  for (int Round = 0; Round < 40; ++Round) {
    for (const auto &Each : Sessions)
      Fixture.System.send(Each, Kind::Read, "warm", "FETCH x");
    Fixture.Loop.runFor(Millis(50));
  }
  for (std::size_t Proxy = 0; Proxy < 60; Proxy += 2)
    Fixture.System.proxy(Proxy).Host.freeze();
  std::size_t Sent = 0;
  std::size_t InTime = 0;
  for (int Round = 0; Round < 4; ++Round) {
    std::vector<std::size_t> Before;
    for (std::size_t Proxy = 1; Proxy < 60; Proxy += 2) {
      Before.push_back(Sessions[Proxy].Caller->Answers.size());
      Fixture.System.send(
          Sessions[Proxy], Kind::Read,
          "r" + std::to_string(Round) + "-" + std::to_string(Proxy), "FETCH x");
    }
    Fixture.Loop.runFor(Millis(200));
    for (std::size_t Each = 0; Each < Before.size(); ++Each) {
      const auto &Answers = Sessions[2 * Each + 1].Caller->Answers;
      ++Sent;
      InTime += Answers.size() > Before[Each] && !Answers.back().Refusal;
    }
  }
  CHECK(InTime * 10 >= Sent * 9);
}

TEST_CASE("Reads are not retried while all answers are slow", "[relay][load]") {
  // Under overload, all answers take five times as long, and some gateways do
  // not even answer pings. Retrying the reads that wait for them would add load
  // until no statement is answered in time.
  Setup Fixture(60, 40);
  std::vector<FakeRelaySystem::Session> Sessions;
  for (std::size_t Proxy = 1; Proxy < 60; Proxy += 2)
    Sessions.push_back(Fixture.System.connect(Proxy, "own"));
  const auto SendAll = [&](Millis Pause) {
    for (const auto &Each : Sessions)
      Fixture.System.send(Each, Kind::Read, "r", "FETCH x");
    Fixture.Loop.runFor(Pause);
  };
  for (int Round = 0; Round < 40; ++Round)
    SendAll(Millis(50));
  Fixture.Group.ExecutionTime = Fixture.Group.ExecutionTime * 5;
  for (int Round = 0; Round < 40; ++Round)
    SendAll(Millis(50));
  for (std::size_t Proxy = 0; Proxy < 60; Proxy += 2)
    Fixture.System.proxy(Proxy).Host.freeze();
  const auto Retries = [&] {
    std::size_t Out = 0;
    for (std::size_t Proxy = 1; Proxy < 60; Proxy += 2)
      Out += Fixture.System.proxy(Proxy).Pipeline.counts().Retries;
    return Out;
  };
  const std::size_t Before = Retries();
  SendAll(Millis(200));
  // At most one read in twenty may be retried.
  CHECK((Retries() - Before) * 20 <= Sessions.size());
}

TEST_CASE("A gateway that does not answer a ping gets no new statements",
          "[relay]") {
  // One of two gateways hangs after two reads were sent, one of them through
  // it. More reads arrive 250 ms later, before the gateway is considered failed
  // and its statements are ended. Each one sent to it would wait as long.
  Setup Fixture;
  const std::size_t Proxy = Fixture.System.nonGateway("a");
  const auto Early = Fixture.System.connect(Proxy, "primary");
  const auto Other = Fixture.System.connect(Proxy, "primary");
  Fixture.System.ask(Early, Kind::Read, "e1", "FETCH x");
  Fixture.System.ask(Other, Kind::Read, "o1", "FETCH x");
  Fixture.System.proxy(Fixture.System.gateways("a").front()).Host.freeze();
  Fixture.System.send(Early, Kind::Read, "e2", "FETCH x");
  Fixture.System.send(Other, Kind::Read, "o2", "FETCH x");
  Fixture.Loop.runFor(Millis(250));
  std::vector<FakeRelaySystem::Session> Late;
  for (int Each = 0; Each < 10; ++Each) {
    Late.push_back(Fixture.System.connect(Proxy, "primary"));
    Fixture.System.send(Late.back(), Kind::Read, "l" + std::to_string(Each),
                        "FETCH x");
  }
  Fixture.Loop.runFor(Millis(60));
  std::size_t Served = 0;
  for (const auto &Each : Late)
    for (const StatementAnswer &Answer : Each.Caller->Answers)
      Served += Answer.Refusal ? 0 : 1;
  CHECK(Served == Late.size());
}

TEST_CASE(
    "A write that waits too long for a connection is refused and never runs",
    "[relay]") {
  // Transactions hold every connection, and a write is queued at the gateway.
  // It is refused as not executed, so its caller may retry it elsewhere. It
  // must not be executed here when a connection becomes available.
  Setup Fixture(12, 4);
  std::vector<FakeRelaySystem::Session> Holders;
  for (std::size_t Each = 0; Each < 12; ++Each) {
    Holders.push_back(Fixture.System.connect(Each, "primary"));
    Fixture.System.send(Holders.back(), Kind::Begin);
    Fixture.System.send(Holders.back(), Kind::Write, "h" + std::to_string(Each),
                        "STORE x 1");
  }
  Fixture.Loop.runFor(Millis(300));
  REQUIRE(Fixture.Group.Servers["a"].OpenConnections == 4);
  const auto Late =
      Fixture.System.connect(Fixture.System.nonGateway("a"), "primary");
  const Millis Start = Fixture.Loop.now();
  const auto Answer = Fixture.System.ask(Late, Kind::Write, "w1", "STORE x 1");
  REQUIRE(Answer.Refusal);
  CHECK(Answer.Refusal->Code == RefusalCode::Busy);
  CHECK(Fixture.Loop.now() - Start < Millis(500));
  for (const auto &Each : Holders)
    Fixture.System.send(Each, Kind::Rollback);
  Fixture.Loop.runFor(Millis(3000));
  CHECK(Fixture.Group.runs("w1") == 0);
}

TEST_CASE("A queued statement is refused while its caller has time left",
          "[relay]") {
  // A burst of statements exceeds the capacity of the primary's connections. If
  // they were queued until their deadlines, all of them would be late or lost.
  // Refused after their objective, they can still be retried elsewhere.
  Setup Fixture(12, 4);
  Fixture.Group.ExecutionTime = Millis(40);
  const auto Sessions = Fixture.sendWrites(60);
  Fixture.Loop.runFor(Millis(200));
  std::size_t Answered = 0;
  for (std::size_t Each = 0; Each < 60; ++Each) {
    Answered += Sessions[Each].Caller->Answers.size();
    for (const StatementAnswer &Answer : Sessions[Each].Caller->Answers)
      if (Answer.Refusal)
        CHECK(Fixture.Group.runs("w" + std::to_string(Each)) == 0);
  }
  CHECK(Answered >= 55);
}

TEST_CASE("Gateways open no connections while the target is saturated",
          "[relay][load]") {
  // The system has just started and all callers arrive at once. Opening a
  // connection takes a slot for as long as several statements, and while all
  // slots are taken it cannot be used, so callers would wait without benefit.
  Setup Fixture(60, 40);
  Fixture.Group.ExecutionTime = Millis(40);
  const auto Sessions = Fixture.sendWrites(180);
  const std::size_t Before = Fixture.Group.Servers["a"].ConnectionAttempts;
  Fixture.Loop.runFor(Millis(200));
  const std::size_t Gateways = Fixture.System.gateways("a").size();
  CHECK(Fixture.Group.Servers["a"].ConnectionAttempts - Before <= Gateways);
  // Idle transactions hold connections without keeping the target busy, so
  // further connections are opened.
  for (const auto &Each : Sessions) {
    Fixture.System.send(Each, Kind::Begin);
    Fixture.System.send(Each, Kind::Write, "t", "STORE x 1");
  }
  Fixture.Loop.runFor(Millis(1000));
  CHECK(Fixture.Group.Servers["a"].OpenConnections > Gateways * 3);
}

TEST_CASE("Statements refused at once at a gateway get one answer each",
          "[relay]") {
  // Callers of the gateway itself begin transactions while it cannot reach the
  // target. Each connection attempt is refused within the call that started it.
  // The connection then goes to the next waiter, which is refused as well. The
  // pending answers of the first must not be sent to its caller.
  Setup Fixture;
  const std::size_t Gateway = Fixture.System.gateways("a").front();
  for (std::size_t Each = 0; Each < 12; ++Each)
    Fixture.System.proxy(Each).Access.Cut = {"a"};
  Fixture.Loop.runFor(Millis(500));
  Fixture.Group.Servers["a"].IsUp = false;
  std::vector<FakeRelaySystem::Session> Sessions;
  for (int Round = 0; Round < 20; ++Round) {
    for (int Each = 0; Each < 6; ++Each) {
      Sessions.push_back(Fixture.System.connect(Gateway, "primary"));
      const std::string Id = std::to_string(Round) + "-" + std::to_string(Each);
      if (Each % 3 == 0) {
        Fixture.System.send(Sessions.back(), Kind::Write, "w" + Id,
                            "STORE x 1");
      } else {
        Fixture.System.send(Sessions.back(), Kind::Begin);
        Fixture.System.send(Sessions.back(), Kind::Read, "r" + Id, "FETCH x");
      }
    }
    Fixture.Loop.runFor(Millis(35));
  }
  Fixture.Loop.runFor(Millis(3000));
  for (std::size_t Each = 0; Each < Sessions.size(); ++Each) {
    const auto &Answers = Sessions[Each].Caller->Answers;
    const std::size_t Expected = Each % 6 % 3 == 0 ? 1 : 2;
    CHECK(Answers.size() == Expected);
  }
}

TEST_CASE("A silent gateway is given up while reads are retried", "[relay]") {
  // One gateway carries all statements of an organisation to a target, and
  // hangs while the proxy has idle links through it. Guards against retries on
  // these links that extend the time until the gateway counts as failed.
  Setup Fixture;
  Fixture.System.applyPlan(planOfOrganisations(2, {"mills"}));
  Fixture.Loop.runFor(Millis(300));
  constexpr std::size_t Count = 60;
  const std::size_t Proxy = Fixture.System.nonGateway("a");
  std::vector<FakeRelaySystem::Session> Sessions;
  for (std::size_t Each = 0; Each < Count; ++Each) {
    Sessions.push_back(Fixture.System.connect(Proxy, "primary", "mills-key"));
    Fixture.System.send(Sessions.back(), Kind::Read,
                        "warm" + std::to_string(Each), "FETCH x");
  }
  Fixture.Loop.runFor(Millis(500));
  // Enough quick answers that the targets count as uncongested.
  for (std::size_t Each = 0; Each < Count; ++Each)
    Fixture.System.ask(Sessions[Each], Kind::Read,
                       "again" + std::to_string(Each), "FETCH x");
  const std::vector<std::size_t> Gateways = Fixture.System.gateways("a");
  const std::size_t Used = hashText("mills", hashText("a")) % Gateways.size();
  Fixture.System.proxy(Gateways[Used]).Host.freeze();
  for (std::size_t Each = 0; Each < Count; ++Each) {
    Fixture.System.send(Sessions[Each], Kind::Read, "r" + std::to_string(Each),
                        "FETCH x");
    Fixture.Loop.runFor(Millis(20));
  }
  Fixture.Loop.runFor(Millis(1000));
  std::size_t Served = 0;
  for (const auto &Each : Sessions)
    Served += Each.Caller->Answers.size() == 3 && !Each.Caller->last().Refusal;
  CHECK(Served == Count);
}
