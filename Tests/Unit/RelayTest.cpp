/// \file
/// What callers get where targets take fewer connections than there are
/// proxies, and proxies carry each other's statements.

#include "FakeRelay.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

using Kind = StatementKind;

using Setup = RelaySetup;

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

} // namespace

TEST_CASE("Gateways are few, near their target and evenly loaded", "[relay]") {
  const auto All = proxies(87);
  const GatewayTable Table(All, targets(24), {{"group", 3}});
  std::map<std::string, std::size_t> Load;
  for (const TargetRecord &Target : targets(24)) {
    const auto &Known = Table.gatewaysOf(Target.Id);
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
        const ProxyRecord &Was = Before.gatewaysOf(Target.Id)[Each];
        const auto &Now = After.gatewaysOf(Target.Id);
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
      CHECK(Each.OpenConnections <= 10);
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
    CHECK(Each.ConnectionAttempts == 0);
  System.resetProxyList();
  System.updateDirectories();
  Loop.runFor(Millis(400));
  for (const auto &[Name, Each] : Group.Servers) {
    CHECK(Each.ConnectionAttempts > 0);
    CHECK(Each.ConnectionAttempts <= 10);
  }
  const auto Session = System.connect(System.nonGateway("a"), "primary");
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
  for (const FakeExecution &Run : On.Group.Runs)
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
  const auto Writer = On.System.connect(On.System.nonGateway("a"), "primary");
  On.Group.Servers["b"].IsReplicating = false;
  On.Group.Servers["c"].IsReplicating = false;
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
  const auto One = On.System.connect(On.System.nonGateway("a"), "primary");
  const auto Other = On.System.connect(On.System.nonGateway("a"), "primary");
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
      On.System.setProxyList(Rest);
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
  for (const FakeExecution &Run : On.Group.Runs) {
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
  On.Group.ExecutionTime = Millis(50);
  const std::size_t Proxy = On.System.nonGateway("a");
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
  On.Group.ExecutionTime = Millis(30);
  const std::size_t Proxy = On.System.nonGateway("a");
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

TEST_CASE("A caller that leaves inside a transaction frees its connection",
          "[relay]") {
  Setup On(12, 4);
  for (int Round = 0; Round < 20; ++Round) {
    const auto Session =
        On.System.connect(On.System.nonGateway("a"), "primary");
    On.System.ask(Session, Kind::Begin);
    const auto Answer = On.System.ask(Session, Kind::Write,
                                      "w" + std::to_string(Round), "STORE x 1");
    CHECK_FALSE(Answer.Refusal);
    Session.At->Pipeline.handleDisconnect(Session.Id);
    On.Loop.runFor(Millis(20));
  }
  CHECK(On.Group.Committed.empty());
}

TEST_CASE("A proxy that dies inside transactions frees their connections",
          "[relay]") {
  Setup On(12, 4);
  const std::size_t Dying = On.System.nonGateway("a");
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
  On.System.setProxyList(Rest);
  const auto Session = On.System.connect(On.System.nonGateway("a"), "primary");
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
  const std::size_t Proxy = On.System.nonGateway("a");
  const auto Session = On.System.connect(Proxy, "primary");
  On.System.ask(Session, Kind::Begin);
  REQUIRE_FALSE(On.System.ask(Session, Kind::Write, "w1", "STORE x 1").Refusal);
  std::size_t Gateway = 0;
  for (const std::size_t Each : On.System.gateways("a"))
    if (On.System.proxy(Each).Broker.isBusy())
      Gateway = Each;
  On.System.proxy(Gateway).Relay.announceStop();
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
