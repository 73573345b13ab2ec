/// \file
/// What callers get where targets take fewer connections than there are
/// proxies, and proxies carry each other's statements.

#include "FakeRelay.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

using Kind = StatementKind;

struct Setup {
  explicit Setup(std::size_t Proxies = 12, std::uint32_t MaxConnections = 10)
      : System(Loop, Group, Proxies, MaxConnections) {
    Loop.runFor(Millis(50));
  }

  FakeLoop Loop;
  FakeGroup Group{Loop, {"a", "b", "c"}};
  FakeRelaySystem System;
};

std::vector<ProxyRecord> proxies(std::size_t Count) {
  std::vector<ProxyRecord> Out;
  for (std::size_t Each = 0; Each < Count; ++Each)
    Out.push_back({"proxy-" + std::to_string(Each),
                   {"10.0.0." + std::to_string(Each), 7000},
                   "domain-" + std::to_string(Each % 3)});
  return Out;
}

std::vector<TargetRecord> targets(std::size_t Count) {
  std::vector<TargetRecord> Out;
  for (std::size_t Each = 0; Each < Count; ++Each) {
    TargetRecord Made;
    Made.Id = "target-" + std::to_string(Each);
    Made.Group = "group";
    Made.FailureDomain = "domain-" + std::to_string(Each % 3);
    Out.push_back(Made);
  }
  return Out;
}

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
  void accept(OnAccept) override {}

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
  RelayFrames Frames;
  FloorTable Floors;
  RelayPeer Peer(Host, Host, Streams, Frames, Floors, {"g", 7000});
  const auto Link = Peer.open({"group", "a", {"a", 5000}},
                              {[] {}, [](const StatementAnswer &) {},
                               [](const std::optional<StatementRefusal> &) {}});
  Link->send({{.What = TargetCommand::Kind::Run, .Text = "FETCH x"}});
  Loop.runFor(Millis(380));
  std::size_t Pings = 0;
  for (const std::string &Frame : Streams.Sent) {
    const auto Messages = Frames.read(Frame);
    REQUIRE(Messages);
    for (const RelayMessage &Each : *Messages)
      Pings += std::holds_alternative<RelayPing>(Each) ? 1 : 0;
  }
  CHECK(Pings == 1);
  CHECK_FALSE(Peer.takesWork());
}

TEST_CASE("Gateways are few, near their target and evenly loaded", "[relay]") {
  const auto All = proxies(87);
  const GatewayTable Table(All, targets(24), {{"group", 3}});
  std::map<std::string, std::size_t> Load;
  for (const TargetRecord &Target : targets(24)) {
    const auto &Known = Table.of(Target.Id);
    REQUIRE(Known.size() > 3);
    for (std::size_t Each = 0; Each < 3; ++Each) {
      CHECK(Known[Each].FailureDomain == Target.FailureDomain);
      ++Load[Known[Each].Name];
    }
  }
  for (const auto &[Name, Count] : Load)
    CHECK(Count <= 2);
}

TEST_CASE("A proxy that leaves moves few connections", "[relay]") {
  // Each gateway that changes costs its target new connections. One restart
  // among many proxies must not make all of them anew.
  const auto All = proxies(87);
  const GatewayTable Before(All, targets(24), {{"group", 3}});
  std::size_t Moved = 0;
  for (std::size_t Gone = 0; Gone < All.size(); ++Gone) {
    auto Rest = All;
    Rest.erase(Rest.begin() + static_cast<std::ptrdiff_t>(Gone));
    const GatewayTable After(Rest, targets(24), {{"group", 3}});
    for (const TargetRecord &Target : targets(24))
      for (std::size_t Each = 0; Each < 3; ++Each) {
        const ProxyRecord &Was = Before.of(Target.Id)[Each];
        const auto &Now = After.of(Target.Id);
        if (Was != All[Gone] &&
            std::find(Now.begin(), Now.begin() + 3, Was) == Now.begin() + 3)
          ++Moved;
      }
  }
  CHECK(Moved <= All.size() * 24 * 3 / 50);
}

TEST_CASE("Every proxy's callers are served over few connections", "[relay]") {
  // Twelve proxies before targets that take ten connections each. Without
  // gateways most proxies would get none, and their callers only refusals.
  Setup On;
  std::vector<FakeRelaySystem::Session> Sessions;
  for (std::size_t Proxy = 0; Proxy < 12; ++Proxy)
    for (const char *Route : {"primary", "bounded", "own"})
      Sessions.push_back(On.System.connect(Proxy, Route));
  std::size_t Served = 0;
  std::size_t Sent = 0;
  for (int Round = 0; Round < 20; ++Round) {
    for (std::size_t Each = 0; Each < Sessions.size(); ++Each) {
      const bool Writes = Each % 5 == 0;
      const std::string Id =
          "s" + std::to_string(Round) + "-" + std::to_string(Each);
      On.System.send(Sessions[Each], Writes ? Kind::Write : Kind::Read, Id,
                     Writes ? "STORE x 1" : "FETCH x");
      ++Sent;
    }
    On.Loop.runFor(Millis(100));
    for (const auto &[Name, Each] : On.Group.Servers)
      CHECK(Each.Open <= 10);
  }
  for (const auto &Each : Sessions)
    for (const StatementAnswer &Answer : Each.Caller->Answers)
      Served += Answer.Refusal ? 0 : 1;
  CHECK(Served == Sent);
}

TEST_CASE("Proxies that don't know each other yet open nothing", "[relay]") {
  // Sixty proxies start at once: each has the plan and the targets, and for
  // 400 ms no list of the others. Opened by each on its own, connections would
  // be refused by targets that take ten, and each that is taken costs a slot.
  FakeLoop Loop;
  FakeGroup Group{Loop, {"a", "b", "c"}};
  FakeRelaySystem System(Loop, Group, 60, 10, false);
  Loop.runFor(Millis(400));
  for (const auto &[Name, Each] : Group.Servers)
    CHECK(Each.Openings == 0);
  System.listAll();
  System.learn();
  Loop.runFor(Millis(400));
  for (const auto &[Name, Each] : Group.Servers) {
    CHECK(Each.Openings > 0);
    CHECK(Each.Openings <= 10);
  }
  const auto Session = System.connect(System.outsider("a"), "primary");
  CHECK_FALSE(System.ask(Session, Kind::Write, "w1", "STORE x 1").Refusal);
}

TEST_CASE("A proxy that is never told of others serves alone", "[relay]") {
  // Control answers with a plan and dies before it knows the proxies. Callers
  // must not wait for a list that nobody makes.
  FakeLoop Loop;
  FakeGroup Group{Loop, {"a", "b", "c"}};
  FakeRelaySystem System(Loop, Group, 1, 10, false);
  Loop.runFor(Millis(3000));
  const auto Session = System.connect(0, "primary");
  CHECK_FALSE(System.ask(Session, Kind::Write, "w1", "STORE x 1").Refusal);
}

TEST_CASE("Bounded reads of proxies that just started leave the leader alone",
          "[relay]") {
  // No proxy has seen the leader yet, and all of them get reads at the same
  // moment. Run at the leader, they would hold its slots while writes wait.
  Setup On;
  std::vector<FakeRelaySystem::Session> Sessions;
  for (std::size_t Proxy = 0; Proxy < 12; ++Proxy)
    for (int Each = 0; Each < 4; ++Each)
      Sessions.push_back(
          On.System.connect(Proxy, Each % 2 == 0 ? "bounded" : "own"));
  for (std::size_t Each = 0; Each < Sessions.size(); ++Each)
    On.System.send(Sessions[Each], Kind::Read, "r" + std::to_string(Each),
                   "FETCH x");
  On.Loop.runFor(Millis(300));
  std::size_t AtLeader = 0;
  for (const FakeRun &Run : On.Group.Runs)
    AtLeader += Run.InTransaction ? 1 : 0;
  CHECK(On.Group.Runs.size() == Sessions.size());
  CHECK(AtLeader == 0);
}

TEST_CASE("A floor that another proxy showed is as good as an own one",
          "[relay]") {
  // A write is acknowledged at one proxy. A caller of another reads after the
  // accepted age: its floor came by way of a gateway, and must hold the write
  // though the replicas have stopped receiving.
  Setup On;
  const auto Writer = On.System.connect(On.System.outsider("a"), "primary");
  On.Group.Servers["b"].Receives = false;
  On.Group.Servers["c"].Receives = false;
  REQUIRE_FALSE(On.System.ask(Writer, Kind::Write, "w1", "STORE x 1").Refusal);
  On.Loop.runFor(Millis(1600));
  for (std::size_t Proxy = 0; Proxy < 12; ++Proxy) {
    const auto Reader = On.System.connect(Proxy, "bounded");
    const std::string Id = "r" + std::to_string(Proxy);
    const auto Answer = On.System.ask(Reader, Kind::Read, Id, "FETCH x");
    if (!Answer.Refusal)
      CHECK(On.Group.run(Id)->At >= On.Group.Committed.at("w1"));
  }
}

TEST_CASE("A session's values and prepared names go along to any gateway",
          "[relay]") {
  Setup On;
  const auto One = On.System.connect(On.System.outsider("a"), "primary");
  const auto Other = On.System.connect(On.System.outsider("a"), "primary");
  Statement Set;
  Set.Kind = Kind::Set;
  Set.Name = "tenant";
  Set.Value = "one";
  One.At->Pipeline.receive(One.Id, Set);
  Statement Prepare;
  Prepare.Kind = Kind::Prepare;
  Prepare.Name = "s1";
  Prepare.Value = "FETCH item";
  One.At->Pipeline.receive(One.Id, Prepare);
  for (int Round = 0; Round < 12; ++Round) {
    const std::string Number = std::to_string(Round);
    Statement Execute;
    Execute.Kind = Kind::Execute;
    Execute.Id = "e" + Number;
    Execute.Name = "s1";
    Execute.Arguments = "7";
    One.At->Pipeline.receive(One.Id, Execute);
    On.System.send(Other, Kind::Read, "o" + Number, "FETCH x");
    On.Loop.runFor(Millis(30));
    REQUIRE(On.Group.run("e" + Number) != nullptr);
    CHECK(On.Group.run("e" + Number)->Text == "FETCH item 7");
    CHECK(On.Group.run("e" + Number)->Values ==
          SessionValues{{"tenant", "one"}});
    REQUIRE(On.Group.run("o" + Number) != nullptr);
    CHECK(On.Group.run("o" + Number)->Values.empty());
    // The gateway restarts or is left: the next one must learn the state.
    if (Round % 4 == 3) {
      const auto Gateways = On.System.gateways("a");
      std::vector<std::size_t> Rest;
      for (std::size_t Each = 0; Each < 12; ++Each)
        if (Each != Gateways.front())
          Rest.push_back(Each);
      On.System.list(Rest);
    }
  }
}

TEST_CASE("Statements of one transaction stay on one connection, alone",
          "[relay]") {
  Setup On(12, 4);
  std::vector<FakeRelaySystem::Session> Sessions;
  for (std::size_t Proxy = 0; Proxy < 12; ++Proxy)
    Sessions.push_back(On.System.connect(Proxy, "primary"));
  for (std::size_t Each = 0; Each < Sessions.size(); ++Each) {
    On.System.send(Sessions[Each], Kind::Begin);
    for (int Step = 0; Step < 3; ++Step)
      On.System.send(Sessions[Each], Kind::Write,
                     "t" + std::to_string(Each) + "-" + std::to_string(Step),
                     "STORE x 1");
    On.System.send(Sessions[Each], Kind::Commit, "c" + std::to_string(Each));
  }
  On.Loop.runFor(Millis(3000));
  std::map<std::uint64_t, std::string> Open;
  for (const FakeRun &Run : On.Group.Runs) {
    const std::string Of = Run.Id.substr(1, Run.Id.find('-') - 1);
    auto &Inside = Open[Run.Connection];
    CHECK((Inside.empty() || Inside == Of));
    Inside = Run.Text == "COMMIT" ? "" : Of;
    CHECK(Run.InTransaction);
  }
}

TEST_CASE("A write whose gateway dies is unknown and never sent again",
          "[relay]") {
  // The gateway is killed while it holds a write. Nobody can tell whether the
  // target ran it; a second try could make one bale have two owners.
  Setup On;
  On.Group.Work = Millis(50);
  const std::size_t Proxy = On.System.outsider("a");
  const auto Session = On.System.connect(Proxy, "primary");
  On.System.send(Session, Kind::Write, "w1", "STORE x 1");
  REQUIRE(On.Loop.runUntilTrue([&] { return On.Group.runs("w1") == 1; },
                               Millis(1000)));
  for (const std::size_t Each : On.System.gateways("a"))
    On.System.proxy(Each).Host.kill();
  On.Loop.runFor(Millis(2000));
  REQUIRE(Session.Caller->Answers.size() == 1);
  REQUIRE(Session.Caller->last().Refusal);
  CHECK(Session.Caller->last().Refusal->Code == RefusalCode::Unknown);
  CHECK(On.Group.runs("w1") == 1);
}

TEST_CASE("A read whose gateway dies is served through another", "[relay]") {
  Setup On;
  On.Group.Work = Millis(30);
  const std::size_t Proxy = On.System.outsider("a");
  const auto Session = On.System.connect(Proxy, "primary");
  REQUIRE_FALSE(On.System.ask(Session, Kind::Read, "r0", "FETCH x").Refusal);
  On.System.send(Session, Kind::Read, "r1", "FETCH x");
  On.Loop.runFor(Millis(10));
  for (const std::size_t Each : On.System.gateways("a"))
    if (On.System.proxy(Each).Broker.isBusy())
      On.System.proxy(Each).Host.kill();
  On.Loop.runFor(Millis(400));
  REQUIRE(Session.Caller->Answers.size() == 2);
  CHECK_FALSE(Session.Caller->last().Refusal);
}

TEST_CASE("A frozen gateway costs a read less than its patience twice",
          "[relay]") {
  // A gateway stands still with open streams: nothing is refused and nothing
  // answered. Callers must not wait to their deadlines for it.
  Setup On;
  for (const std::size_t Each : On.System.gateways("a"))
    if (Each != On.System.gateways("a").back())
      On.System.proxy(Each).Host.freeze();
  const std::size_t Proxy = On.System.outsider("a");
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
    INFO((Each.Caller->last().Refusal ? Each.Caller->last().Refusal->Why : ""));
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
  On.Group.Work = On.Group.Work * 5;
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
  const std::size_t Proxy = On.System.outsider("a");
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
  REQUIRE(On.Group.Servers["a"].Open == 4);
  const auto Late = On.System.connect(On.System.outsider("a"), "primary");
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
  On.Group.Work = Millis(40);
  std::vector<FakeRelaySystem::Session> Sessions;
  for (std::size_t Each = 0; Each < 60; ++Each) {
    Sessions.push_back(On.System.connect(Each % 12, "primary"));
    On.System.send(Sessions.back(), Kind::Write, "w" + std::to_string(Each),
                   "STORE x 1");
  }
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
  On.Group.Work = Millis(40);
  std::vector<FakeRelaySystem::Session> Sessions;
  for (std::size_t Each = 0; Each < 180; ++Each) {
    Sessions.push_back(On.System.connect(Each % 60, "primary"));
    On.System.send(Sessions.back(), Kind::Write, "w" + std::to_string(Each),
                   "STORE x 1");
  }
  const std::size_t Before = On.Group.Servers["a"].Openings;
  On.Loop.runFor(Millis(200));
  const std::size_t Gateways = On.System.gateways("a").size();
  CHECK(On.Group.Servers["a"].Openings - Before <= Gateways);
  // Transactions that rest hold connections without keeping the target busy:
  // then others are opened.
  for (const auto &Each : Sessions) {
    On.System.send(Each, Kind::Begin);
    On.System.send(Each, Kind::Write, "t", "STORE x 1");
  }
  On.Loop.runFor(Millis(1000));
  CHECK(On.Group.Servers["a"].Open > Gateways * 3);
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

TEST_CASE("A caller that leaves inside a transaction frees its connection",
          "[relay]") {
  Setup On(12, 4);
  for (int Round = 0; Round < 20; ++Round) {
    const auto Session = On.System.connect(On.System.outsider("a"), "primary");
    On.System.ask(Session, Kind::Begin);
    const auto Answer = On.System.ask(Session, Kind::Write,
                                      "w" + std::to_string(Round), "STORE x 1");
    CHECK_FALSE(Answer.Refusal);
    Session.At->Pipeline.disconnected(Session.Id);
    On.Loop.runFor(Millis(20));
  }
  CHECK(On.Group.Committed.empty());
}

TEST_CASE("A proxy that dies inside transactions frees their connections",
          "[relay]") {
  Setup On(12, 4);
  const std::size_t Dying = On.System.outsider("a");
  for (int Each = 0; Each < 4; ++Each) {
    const auto Session = On.System.connect(Dying, "primary");
    On.System.send(Session, Kind::Begin);
    On.System.send(Session, Kind::Write, "w" + std::to_string(Each),
                   "STORE x 1");
  }
  On.Loop.runFor(Millis(100));
  On.System.proxy(Dying).Host.kill();
  On.Loop.runFor(Millis(100));
  std::vector<std::size_t> Rest;
  for (std::size_t Each = 0; Each < 12; ++Each)
    if (Each != Dying)
      Rest.push_back(Each);
  On.System.list(Rest);
  const auto Session = On.System.connect(On.System.outsider("a"), "primary");
  CHECK_FALSE(On.System.ask(Session, Kind::Write, "w", "STORE x 1").Refusal);
  CHECK(On.Group.Committed.size() == 1);
}

TEST_CASE("A gateway that doesn't reach the target passes statements on",
          "[relay]") {
  // One gateway is cut off from the target. Its callers and those of others
  // are served through the rest.
  Setup On;
  On.System.proxy(On.System.gateways("a").front()).Access.Cut = {"a"};
  std::size_t Refused = 0;
  for (std::size_t Proxy = 0; Proxy < 12; ++Proxy) {
    const auto Session = On.System.connect(Proxy, "primary");
    for (int Round = 0; Round < 3; ++Round) {
      const auto Answer = On.System.ask(
          Session, Kind::Read,
          "r" + std::to_string(Proxy) + "-" + std::to_string(Round), "FETCH x");
      Refused += Answer.Refusal ? 1 : 0;
    }
  }
  CHECK(Refused == 0);
}

TEST_CASE("A stopping gateway ends what it has and gets nothing new",
          "[relay]") {
  Setup On;
  const std::size_t Proxy = On.System.outsider("a");
  const auto Session = On.System.connect(Proxy, "primary");
  On.System.ask(Session, Kind::Begin);
  REQUIRE_FALSE(On.System.ask(Session, Kind::Write, "w1", "STORE x 1").Refusal);
  std::size_t Gateway = 0;
  for (const std::size_t Each : On.System.gateways("a"))
    if (On.System.proxy(Each).Broker.isBusy())
      Gateway = Each;
  On.System.proxy(Gateway).Relay.beginStop();
  On.Loop.runFor(Millis(10));
  const auto Other = On.System.connect(Proxy, "primary");
  for (int Round = 0; Round < 6; ++Round)
    REQUIRE_FALSE(
        On.System.ask(Other, Kind::Read, "r" + std::to_string(Round), "FETCH x")
            .Refusal);
  CHECK_FALSE(On.System.ask(Session, Kind::Commit, "c1").Refusal);
  CHECK_FALSE(On.System.proxy(Gateway).Broker.isBusy());
  CHECK(On.Group.Committed.count("w1") == 1);
}
