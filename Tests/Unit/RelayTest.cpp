/// \file
/// Relaying of statements between proxies when targets accept fewer connections
/// than there are proxies.

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
    TargetRecord Record;
    Record.Id = "target-" + std::to_string(Each);
    Record.Group = "group";
    Record.FailureDomain = "domain-" + std::to_string(Each % 3);
    Out.push_back(Record);
  }
  return Out;
}

} // namespace

TEST_CASE("Gateways are few, near their target and evenly loaded", "[relay]") {
  const auto All = proxies(87);
  const GatewayTable Table(All, targets(24), {{"group", 3}});
  std::map<std::string, std::size_t> Load;
  for (const TargetRecord &Target : targets(24)) {
    const auto &Gateways = Table.gatewaysOf(Target.Id);
    REQUIRE(Gateways.size() > 3);
    for (std::size_t Each = 0; Each < 3; ++Each) {
      CHECK(Gateways[Each].FailureDomain == Target.FailureDomain);
      ++Load[Gateways[Each].Name];
    }
  }
  for (const auto &[Name, Count] : Load)
    CHECK(Count <= 2);
}

TEST_CASE("Removing a proxy moves few connections", "[relay]") {
  // Each change of a gateway costs its target new connections. The restart of
  // one of many proxies must not cause all connections to be reopened.
  const auto All = proxies(87);
  const GatewayTable Before(All, targets(24), {{"group", 3}});
  std::size_t Moved = 0;
  for (std::size_t Removed = 0; Removed < All.size(); ++Removed) {
    auto Rest = All;
    Rest.erase(Rest.begin() + static_cast<std::ptrdiff_t>(Removed));
    const GatewayTable After(Rest, targets(24), {{"group", 3}});
    for (const TargetRecord &Target : targets(24))
      for (std::size_t Each = 0; Each < 3; ++Each) {
        const ProxyRecord &Gateway = Before.gatewaysOf(Target.Id)[Each];
        const auto &Now = After.gatewaysOf(Target.Id);
        if (Gateway != All[Removed] &&
            std::find(Now.begin(), Now.begin() + 3, Gateway) == Now.begin() + 3)
          ++Moved;
      }
  }
  CHECK(Moved <= All.size() * 24 * 3 / 50);
}

TEST_CASE("Callers of every proxy are served over few connections", "[relay]") {
  // Twelve proxies use targets that accept ten connections each. Without
  // gateways, the callers of proxies without a connection would be refused.
  Setup Fixture;
  std::vector<FakeRelaySystem::Session> Sessions;
  for (std::size_t Proxy = 0; Proxy < 12; ++Proxy)
    for (const char *Route : {"primary", "bounded", "own"})
      Sessions.push_back(Fixture.System.connect(Proxy, Route));
  std::size_t Served = 0;
  std::size_t Sent = 0;
  for (int Round = 0; Round < 20; ++Round) {
    for (std::size_t Each = 0; Each < Sessions.size(); ++Each) {
      const bool Writes = Each % 5 == 0;
      const std::string Id =
          "s" + std::to_string(Round) + "-" + std::to_string(Each);
      Fixture.System.send(Sessions[Each], Writes ? Kind::Write : Kind::Read, Id,
                          Writes ? "STORE x 1" : "FETCH x");
      ++Sent;
    }
    Fixture.Loop.runFor(Millis(100));
    for (const auto &[Name, Each] : Fixture.Group.Servers)
      CHECK(Each.OpenConnections <= 10);
  }
  for (const auto &Each : Sessions)
    for (const StatementAnswer &Answer : Each.Caller->Answers)
      Served += Answer.Refusal ? 0 : 1;
  CHECK(Served == Sent);
}

TEST_CASE("Proxies open no connections before they know each other",
          "[relay]") {
  // Sixty proxies start at once. Each has the plan and the targets, but no list
  // of proxies for 400 ms. If each opened connections on its own, targets that
  // accept ten would refuse most, and each accepted one would take a slot.
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

TEST_CASE("A proxy that never receives a proxy list serves alone", "[relay]") {
  // Control sends a plan and crashes before it knows the proxies. Callers must
  // not wait for a list that is never sent.
  FakeLoop Loop;
  FakeGroup Group{Loop, {"a", "b", "c"}};
  FakeRelaySystem System(Loop, Group, 1, 10, false);
  Loop.runFor(Millis(3000));
  const auto Session = System.connect(0, "primary");
  CHECK_FALSE(System.ask(Session, Kind::Write, "w1", "STORE x 1").Refusal);
}

TEST_CASE("Bounded reads of proxies that just started avoid the primary",
          "[relay]") {
  // No proxy has an answer from the primary yet, and all of them receive reads
  // at the same time. Run at the primary, they would take its slots from
  // writes.
  Setup Fixture;
  std::vector<FakeRelaySystem::Session> Sessions;
  for (std::size_t Proxy = 0; Proxy < 12; ++Proxy)
    for (int Each = 0; Each < 4; ++Each)
      Sessions.push_back(
          Fixture.System.connect(Proxy, Each % 2 == 0 ? "bounded" : "own"));
  for (std::size_t Each = 0; Each < Sessions.size(); ++Each)
    Fixture.System.send(Sessions[Each], Kind::Read, "r" + std::to_string(Each),
                        "FETCH x");
  Fixture.Loop.runFor(Millis(300));
  std::size_t AtLeader = 0;
  for (const FakeExecution &Run : Fixture.Group.Runs)
    AtLeader += Run.InTransaction ? 1 : 0;
  CHECK(Fixture.Group.Runs.size() == Sessions.size());
  CHECK(AtLeader == 0);
}

TEST_CASE("A floor received from another proxy is enforced", "[relay]") {
  // A write is acknowledged at one proxy, and a caller of another reads after
  // the accepted age. The floor of that proxy comes from a gateway and must
  // include the write, although the replicas have stopped replicating.
  Setup Fixture;
  const auto Writer =
      Fixture.System.connect(Fixture.System.nonGateway("a"), "primary");
  Fixture.Group.Servers["b"].IsReplicating = false;
  Fixture.Group.Servers["c"].IsReplicating = false;
  REQUIRE_FALSE(
      Fixture.System.ask(Writer, Kind::Write, "w1", "STORE x 1").Refusal);
  Fixture.Loop.runFor(Millis(1600));
  for (std::size_t Proxy = 0; Proxy < 12; ++Proxy) {
    const auto Reader = Fixture.System.connect(Proxy, "bounded");
    const std::string Id = "r" + std::to_string(Proxy);
    const auto Answer = Fixture.System.ask(Reader, Kind::Read, Id, "FETCH x");
    if (!Answer.Refusal)
      CHECK(Fixture.Group.run(Id)->At >= Fixture.Group.Committed.at("w1"));
  }
}

TEST_CASE("Values and prepared names of a session apply at any gateway",
          "[relay]") {
  Setup Fixture;
  const auto One =
      Fixture.System.connect(Fixture.System.nonGateway("a"), "primary");
  const auto Other =
      Fixture.System.connect(Fixture.System.nonGateway("a"), "primary");
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
    Fixture.System.send(Other, Kind::Read, "o" + Number, "FETCH x");
    Fixture.Loop.runFor(Millis(30));
    REQUIRE(Fixture.Group.run("e" + Number) != nullptr);
    CHECK(Fixture.Group.run("e" + Number)->Text == "FETCH item 7");
    CHECK(Fixture.Group.run("e" + Number)->Values ==
          SessionValues{{"tenant", "one"}});
    REQUIRE(Fixture.Group.run("o" + Number) != nullptr);
    CHECK(Fixture.Group.run("o" + Number)->Values.empty());
    // The gateway is removed, so the next one must receive the session state.
    if (Round % 4 == 3) {
      const auto Gateways = Fixture.System.gateways("a");
      std::vector<std::size_t> Rest;
      for (std::size_t Each = 0; Each < 12; ++Each)
        if (Each != Gateways.front())
          Rest.push_back(Each);
      Fixture.System.setProxyList(Rest);
    }
  }
}

TEST_CASE("Statements of one transaction have one connection to themselves",
          "[relay]") {
  Setup Fixture(12, 4);
  std::vector<FakeRelaySystem::Session> Sessions;
  for (std::size_t Proxy = 0; Proxy < 12; ++Proxy)
    Sessions.push_back(Fixture.System.connect(Proxy, "primary"));
  for (std::size_t Each = 0; Each < Sessions.size(); ++Each) {
    Fixture.System.send(Sessions[Each], Kind::Begin);
    for (int Step = 0; Step < 3; ++Step)
      Fixture.System.send(
          Sessions[Each], Kind::Write,
          "t" + std::to_string(Each) + "-" + std::to_string(Step), "STORE x 1");
    Fixture.System.send(Sessions[Each], Kind::Commit,
                        "c" + std::to_string(Each));
  }
  Fixture.Loop.runFor(Millis(3000));
  std::map<std::uint64_t, std::string> Open;
  for (const FakeExecution &Run : Fixture.Group.Runs) {
    const std::string Transaction = Run.Id.substr(1, Run.Id.find('-') - 1);
    auto &Current = Open[Run.Connection];
    CHECK((Current.empty() || Current == Transaction));
    Current = Run.Text == "COMMIT" ? "" : Transaction;
    CHECK(Run.InTransaction);
  }
}

TEST_CASE("A write whose gateway crashes is unknown and never retried",
          "[relay]") {
  // The gateway is killed while it relays a write. It is unknown whether the
  // target executed it, so a retry could execute it twice.
  Setup Fixture;
  Fixture.Group.ExecutionTime = Millis(50);
  const std::size_t Proxy = Fixture.System.nonGateway("a");
  const auto Session = Fixture.System.connect(Proxy, "primary");
  Fixture.System.send(Session, Kind::Write, "w1", "STORE x 1");
  REQUIRE(Fixture.Loop.runUntilTrue(
      [&] { return Fixture.Group.runs("w1") == 1; }, Millis(1000)));
  for (const std::size_t Each : Fixture.System.gateways("a"))
    Fixture.System.proxy(Each).Host.kill();
  Fixture.Loop.runFor(Millis(2000));
  REQUIRE(Session.Caller->Answers.size() == 1);
  REQUIRE(Session.Caller->last().Refusal);
  CHECK(Session.Caller->last().Refusal->Code == RefusalCode::Unknown);
  CHECK(Fixture.Group.runs("w1") == 1);
}

TEST_CASE("A read whose gateway crashes is served through another", "[relay]") {
  Setup Fixture;
  Fixture.Group.ExecutionTime = Millis(30);
  const std::size_t Proxy = Fixture.System.nonGateway("a");
  const auto Session = Fixture.System.connect(Proxy, "primary");
  REQUIRE_FALSE(
      Fixture.System.ask(Session, Kind::Read, "r0", "FETCH x").Refusal);
  Fixture.System.send(Session, Kind::Read, "r1", "FETCH x");
  Fixture.Loop.runFor(Millis(10));
  for (const std::size_t Each : Fixture.System.gateways("a"))
    if (Fixture.System.proxy(Each).Broker.isBusy())
      Fixture.System.proxy(Each).Host.kill();
  Fixture.Loop.runFor(Millis(400));
  REQUIRE(Session.Caller->Answers.size() == 2);
  CHECK_FALSE(Session.Caller->last().Refusal);
}

TEST_CASE("A caller that leaves inside a transaction frees its connection",
          "[relay]") {
  Setup Fixture(12, 4);
  for (int Round = 0; Round < 20; ++Round) {
    const auto Session =
        Fixture.System.connect(Fixture.System.nonGateway("a"), "primary");
    Fixture.System.ask(Session, Kind::Begin);
    const auto Answer = Fixture.System.ask(
        Session, Kind::Write, "w" + std::to_string(Round), "STORE x 1");
    CHECK_FALSE(Answer.Refusal);
    Session.At->Pipeline.handleDisconnect(Session.Id);
    Fixture.Loop.runFor(Millis(20));
  }
  CHECK(Fixture.Group.Committed.empty());
}

TEST_CASE("A proxy that crashes inside transactions frees their connections",
          "[relay]") {
  Setup Fixture(12, 4);
  const std::size_t Crashing = Fixture.System.nonGateway("a");
  for (int Each = 0; Each < 4; ++Each) {
    const auto Session = Fixture.System.connect(Crashing, "primary");
    Fixture.System.send(Session, Kind::Begin);
    Fixture.System.send(Session, Kind::Write, "w" + std::to_string(Each),
                        "STORE x 1");
  }
  Fixture.Loop.runFor(Millis(100));
  Fixture.System.proxy(Crashing).Host.kill();
  Fixture.Loop.runFor(Millis(100));
  std::vector<std::size_t> Rest;
  for (std::size_t Each = 0; Each < 12; ++Each)
    if (Each != Crashing)
      Rest.push_back(Each);
  Fixture.System.setProxyList(Rest);
  const auto Session =
      Fixture.System.connect(Fixture.System.nonGateway("a"), "primary");
  CHECK_FALSE(
      Fixture.System.ask(Session, Kind::Write, "w", "STORE x 1").Refusal);
  CHECK(Fixture.Group.Committed.size() == 1);
}

TEST_CASE("A gateway that cannot reach the target forwards statements",
          "[relay]") {
  // One gateway is partitioned from the target. Its callers and the callers of
  // other proxies are served through the remaining gateways.
  Setup Fixture;
  Fixture.System.proxy(Fixture.System.gateways("a").front()).Access.Cut = {"a"};
  std::size_t Refused = 0;
  for (std::size_t Proxy = 0; Proxy < 12; ++Proxy) {
    const auto Session = Fixture.System.connect(Proxy, "primary");
    for (int Round = 0; Round < 3; ++Round) {
      const auto Answer = Fixture.System.ask(
          Session, Kind::Read,
          "r" + std::to_string(Proxy) + "-" + std::to_string(Round), "FETCH x");
      Refused += Answer.Refusal ? 1 : 0;
    }
  }
  CHECK(Refused == 0);
}

TEST_CASE("A stopping gateway completes its statements and gets no new ones",
          "[relay]") {
  Setup Fixture;
  const std::size_t Proxy = Fixture.System.nonGateway("a");
  const auto Session = Fixture.System.connect(Proxy, "primary");
  Fixture.System.ask(Session, Kind::Begin);
  REQUIRE_FALSE(
      Fixture.System.ask(Session, Kind::Write, "w1", "STORE x 1").Refusal);
  std::size_t Gateway = 0;
  for (const std::size_t Each : Fixture.System.gateways("a"))
    if (Fixture.System.proxy(Each).Broker.isBusy())
      Gateway = Each;
  Fixture.System.proxy(Gateway).Relay.announceStop(Fixture.Loop.now() +
                                                   Millis(1000));
  Fixture.Loop.runFor(Millis(10));
  const auto Other = Fixture.System.connect(Proxy, "primary");
  for (int Round = 0; Round < 6; ++Round)
    REQUIRE_FALSE(
        Fixture.System
            .ask(Other, Kind::Read, "r" + std::to_string(Round), "FETCH x")
            .Refusal);
  CHECK_FALSE(Fixture.System.ask(Session, Kind::Commit, "c1").Refusal);
  CHECK_FALSE(Fixture.System.proxy(Gateway).Broker.isBusy());
  CHECK(Fixture.Group.Committed.count("w1") == 1);
}

TEST_CASE("A gateway refuses what arrives shortly before it ends", "[relay]") {
  // Guards against statements that another proxy sent before it learned of the
  // stop, and that the gateway passes on and cuts off when it ends.
  Setup Fixture;
  const std::size_t Proxy = Fixture.System.nonGateway("a");
  const auto Single = Fixture.System.connect(Proxy, "primary");
  const auto Open = Fixture.System.connect(Proxy, "primary");
  REQUIRE_FALSE(
      Fixture.System.ask(Single, Kind::Write, "w1", "STORE x 1").Refusal);
  Fixture.System.ask(Open, Kind::Begin);
  REQUIRE_FALSE(
      Fixture.System.ask(Open, Kind::Write, "w2", "STORE x 2").Refusal);
  Fixture.Group.ExecutionTime = Millis(30);
  Fixture.System.net().Latency = Millis(5);
  Fixture.System.send(Open, Kind::Commit, "c2");
  for (int Each = 0; Each < 4; ++Each)
    Fixture.System.send(Fixture.System.connect(Proxy, "primary"), Kind::Write,
                        "v" + std::to_string(Each), "STORE x 1");
  Fixture.System.send(Single, Kind::Write, "w3", "STORE x 3");
  // All gateways stop while these are on their way, and end before the target
  // would answer.
  const std::size_t Before = Fixture.Group.Runs.size();
  for (const std::size_t Each : Fixture.System.gateways("a"))
    Fixture.System.proxy(Each).Relay.announceStop(Fixture.Loop.now());
  Fixture.Loop.runFor(Millis(20));
  for (const std::size_t Each : Fixture.System.gateways("a")) {
    CHECK_FALSE(Fixture.System.proxy(Each).Broker.isBusy());
    Fixture.System.proxy(Each).Host.kill();
  }
  CHECK(Fixture.Group.Runs.size() == Before);
  Fixture.Loop.runFor(Millis(1000));
  const StatementAnswer &Commit = Open.Caller->last();
  REQUIRE(Commit.Refusal);
  CHECK(Commit.Refusal->Code == RefusalCode::Aborted);
  CHECK(Fixture.Group.Committed.count("w2") == 0);
  CHECK(Fixture.Group.runs("w3") <= 1);
  CHECK((!Single.Caller->last().Refusal ||
         Single.Caller->last().Refusal->Code == RefusalCode::Busy ||
         Single.Caller->last().Refusal->Code == RefusalCode::Unreachable));
}
