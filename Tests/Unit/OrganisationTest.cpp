/// \file
/// Isolation of organisations that the plan declares, for targets that enforce
/// their leadership themselves.

#include "Common/Codec.h"
#include "FakeRelay.h"
#include "PlanDocument.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

using Kind = StatementKind;

/// One proxy for a group, with a plan that declares \p Names as organisations.
struct Setup {
  explicit Setup(std::vector<std::string> Names = {"mills", "clerks"}) {
    adopt(planOfOrganisations(2, Names));
  }

  void adopt(const RoutePlan &Plan) {
    Proxy.Pipeline.adopt(replaceKeysByDigests(Plan, ""));
    Proxy.updateDirectory();
  }

  FakeLoop Loop;
  FakeGroup Group{Loop, {"a", "b", "c"}};
  FakePipeline Proxy{Loop, Group};
};

/// Returns a later plan that swaps the keys of two organisations.
RoutePlan swappedKeys() {
  RoutePlan Out = planOfOrganisations(3, {"mills", "clerks"});
  std::swap(Out.Organisations[0].Keys, Out.Organisations[1].Keys);
  return Out;
}

std::vector<std::string> names(std::size_t Count) {
  std::vector<std::string> Out;
  for (std::size_t Each = 0; Each < Count; ++Each)
    Out.push_back("org" + std::to_string(Each));
  return Out;
}

} // namespace

TEST_CASE("Statements run only for the organisation of the session key",
          "[organisations]") {
  // Guards against reusing the connection of one organisation's session for a
  // session of another organisation.
  Setup Fixture;
  for (int Round = 0; Round < 20; ++Round)
    for (const char *Name : {"mills", "clerks"}) {
      const auto Session =
          Fixture.Proxy.connect("own", std::string(Name) + "-key");
      const std::string Id = Name + std::to_string(Round);
      REQUIRE_FALSE(
          Fixture.Proxy.ask(Session, Kind::Write, Id, "STORE x 1").Refusal);
      CHECK(Fixture.Group.run(Id)->Organisation == Name);
      REQUIRE_FALSE(
          Fixture.Proxy.ask(Session, Kind::Read, Id + "r", "FETCH x").Refusal);
      CHECK(Fixture.Group.run(Id + "r")->Organisation == Name);
      Fixture.Proxy.Pipeline.handleDisconnect(Session.Id);
    }
}

TEST_CASE("Gateways do not mix connections of organisations",
          "[organisations][relay]") {
  // Guards against mixing organisations when far more of them than connections
  // use many proxies, with transactions that callers abandon.
  RelaySetup Fixture(12, 10);
  const std::vector<std::string> All = names(30);
  Fixture.System.applyPlan(planOfOrganisations(2, All));
  std::vector<FakeRelaySystem::Session> Sessions;
  std::map<std::string, std::string> Expected; // Organisation by statement id.
  for (std::size_t Each = 0; Each < 90; ++Each) {
    const std::string &Name = All[Each * 7 % All.size()];
    const auto Session =
        Fixture.System.connect(Each % 12, "own", Name + "-key");
    const std::string Id = "s" + std::to_string(Each);
    Expected[Id] = Name;
    if (Each % 3 == 0)
      Fixture.System.send(Session, Kind::Begin);
    Fixture.System.send(Session, Each % 2 == 0 ? Kind::Write : Kind::Read, Id,
                        Each % 2 == 0 ? "STORE x 1" : "FETCH x");
    Sessions.push_back(Session);
    Fixture.Loop.runFor(Millis(5));
    if (Each % 6 == 0)
      Session.At->Pipeline.handleDisconnect(Session.Id);
    else if (Each % 3 == 0)
      Fixture.System.send(Session, Kind::Commit, Id + "c");
    Expected[Id + "c"] = Name;
  }
  Fixture.Loop.runFor(Millis(2000));
  REQUIRE(Fixture.Group.Runs.size() > 60);
  for (const FakeExecution &Each : Fixture.Group.Runs) {
    CAPTURE(Each.Id);
    CHECK(Each.Organisation == Expected.at(Each.Id));
  }
}

TEST_CASE("More organisations than connections are all served",
          "[organisations][relay]") {
  // Guards against idle connections of some organisations that prevent others
  // from getting one.
  RelaySetup Fixture(12, 10);
  const std::vector<std::string> All = names(60);
  Fixture.System.applyPlan(planOfOrganisations(2, All));
  std::size_t Served = 0;
  for (std::size_t Each = 0; Each < All.size(); ++Each) {
    const auto Session =
        Fixture.System.connect(Each % 12, "primary", All[Each] + "-key");
    Served += Fixture.System
                      .ask(Session, Kind::Write, "w" + std::to_string(Each),
                           "STORE x 1")
                      .Refusal
                  ? 0
                  : 1;
  }
  CHECK(Served == All.size());
}

TEST_CASE("An unknown key is refused only by a proxy with a current plan",
          "[organisations]") {
  // Guards against a proxy that refuses a valid key permanently because its
  // plan is older than the key.
  FakeLoop Loop;
  FakeGroup Group{Loop, {"a"}};
  FakeHost Host(Loop, "proxy");
  FloorTable Floors;
  bool IsCurrent = true;
  SessionPipeline Pipeline(
      {Host, Host, Group, Floors, [&IsCurrent] { return IsCurrent; }, ""},
      {"region", "here", "proxy"});
  Pipeline.adopt(replaceKeysByDigests(planOfOrganisations(1, {"mills"}), ""));
  const auto Open = [&](const std::string &Key) {
    auto Caller = std::make_shared<FakeCaller>();
    Pipeline.open("primary", Key, Caller);
    return Caller;
  };

  CHECK(Open("mills-key")->IsOpen);
  CHECK(Open("other")->Rejected->Code == RefusalCode::Unauthorised);
  CHECK(Open("")->Rejected->Code == RefusalCode::Unauthorised);

  IsCurrent = false;
  CHECK(Open("mills-key")->IsOpen);
  const auto Pending = Open("clerks-key");
  const auto Unknown = Open("other");
  Loop.runFor(Millis(300));
  CHECK_FALSE(Pending->IsOpen);
  CHECK_FALSE(Pending->Rejected);
  Pipeline.adopt(
      replaceKeysByDigests(planOfOrganisations(2, {"mills", "clerks"}), ""));
  CHECK(Pending->IsOpen);
  Loop.runFor(Millis(2000));
  REQUIRE(Unknown->Rejected);
  CHECK(Unknown->Rejected->Code == RefusalCode::Busy);

  const auto Late = Open("other");
  Loop.runFor(Millis(100));
  IsCurrent = true;
  Loop.runFor(Millis(100));
  REQUIRE(Late->Rejected);
  CHECK(Late->Rejected->Code == RefusalCode::Unauthorised);
}

TEST_CASE("An unknown database is refused only by a proxy with a current plan",
          "[organisations]") {
  // Guards against a proxy without contact to control that refuses a database
  // as unknown although a newer plan declares it: its callers would not retry
  // at a proxy that has that plan.
  FakeLoop Loop;
  FakeGroup Group{Loop, {"a"}};
  FakeHost Host(Loop, "proxy");
  FloorTable Floors;
  bool IsCurrent = false;
  SessionPipeline Pipeline(
      {Host, Host, Group, Floors, [&IsCurrent] { return IsCurrent; }, ""},
      {"region", "here", "proxy"});
  Pipeline.adopt(planOfThreeRoutes());
  const auto Open = [&](const std::string &Database) {
    auto Caller = std::make_shared<FakeCaller>();
    Pipeline.open(Database, "", Caller);
    return Caller;
  };

  CHECK(Open("primary")->IsOpen);
  const auto Unknown = Open("added-later");
  Loop.runFor(Millis(100));
  CHECK_FALSE(Unknown->Rejected);
  Loop.runFor(Millis(2000));
  REQUIRE(Unknown->Rejected);
  CHECK(Unknown->Rejected->Code == RefusalCode::Busy);

  IsCurrent = true;
  const auto Late = Open("added-later");
  REQUIRE(Late->Rejected);
  CHECK(Late->Rejected->Code == RefusalCode::NoDatabase);
}

TEST_CASE("Removing a key ends its sessions gracefully", "[organisations]") {
  // Guards against executing statements for a key that was removed from the
  // plan, and against losing the answers of statements in flight.
  Setup Fixture;
  const auto Idle = Fixture.Proxy.connect("primary", "mills-key");
  const auto Busy = Fixture.Proxy.connect("primary", "mills-key");
  const auto InTransaction = Fixture.Proxy.connect("primary", "mills-key");
  const auto IdleInTransaction = Fixture.Proxy.connect("primary", "mills-key");
  const auto Other = Fixture.Proxy.connect("primary", "clerks-key");
  for (const auto &Each : {InTransaction, IdleInTransaction}) {
    Fixture.Proxy.ask(Each, Kind::Begin);
    REQUIRE_FALSE(
        Fixture.Proxy
            .ask(Each, Kind::Write, "t" + std::to_string(Each.Id), "STORE x 1")
            .Refusal);
  }
  Fixture.Proxy.send(Busy, Kind::Write, "busy", "STORE x 1");
  Fixture.Loop.runFor(Millis(2));
  Fixture.adopt(planOfOrganisations(3, {"clerks"}));

  CHECK(Idle.Caller->IsClosed);
  CHECK_FALSE(Busy.Caller->IsClosed);
  CHECK_FALSE(Other.Caller->IsClosed);
  Fixture.Loop.runFor(Millis(200));
  REQUIRE(Busy.Caller->Answers.size() == 1);
  CHECK_FALSE(Busy.Caller->last().Refusal);
  CHECK(Busy.Caller->IsClosed);
  // An open transaction may commit, and its session ends with it.
  CHECK_FALSE(Fixture.Proxy.ask(InTransaction, Kind::Commit, "commit").Refusal);
  CHECK(InTransaction.Caller->IsClosed);
  // A transaction that stays idle is ended.
  Fixture.Loop.runFor(Millis(1500));
  const StatementAnswer Late =
      Fixture.Proxy.ask(IdleInTransaction, Kind::Write, "late", "STORE x 1");
  REQUIRE(Late.Refusal);
  CHECK(Late.Refusal->Code == RefusalCode::Aborted);
  CHECK(Fixture.Group.runs("late") == 0);
  Fixture.Proxy.send(IdleInTransaction, Kind::Rollback);
  CHECK(IdleInTransaction.Caller->IsClosed);
  CHECK_FALSE(
      Fixture.Proxy.ask(Other, Kind::Write, "other", "STORE x 1").Refusal);
}

TEST_CASE("Queued statements do not run once the key is removed",
          "[organisations]") {
  // Guards against executing queued statements of a session without a key.
  Setup Fixture;
  const auto Session = Fixture.Proxy.connect("primary", "mills-key");
  for (int Each = 0; Each < 5; ++Each)
    Fixture.Proxy.send(Session, Kind::Write, "w" + std::to_string(Each),
                       "STORE x 1");
  Fixture.Loop.runFor(Millis(2));
  Fixture.adopt(planOfOrganisations(3, {"clerks"}));
  Fixture.Loop.runFor(Millis(500));
  CHECK(Fixture.Group.runs("w1") == 0);
  REQUIRE(Session.Caller->Rejected);
  CHECK(Session.Caller->Rejected->Code == RefusalCode::Unauthorised);
}

TEST_CASE("A key that moves to another organisation ends its sessions",
          "[organisations]") {
  // Guards against a session that continues for the former owner of its key.
  Setup Fixture;
  const auto Before = Fixture.Proxy.connect("primary", "mills-key");
  REQUIRE_FALSE(
      Fixture.Proxy.ask(Before, Kind::Write, "before", "STORE x 1").Refusal);
  Fixture.adopt(swappedKeys());
  CHECK(Before.Caller->IsClosed);
  const auto After = Fixture.Proxy.connect("primary", "mills-key");
  REQUIRE_FALSE(
      Fixture.Proxy.ask(After, Kind::Write, "after", "STORE x 1").Refusal);
  CHECK(Fixture.Group.run("before")->Organisation == "mills");
  CHECK(Fixture.Group.run("after")->Organisation == "clerks");
}

TEST_CASE("A public route needs no key and uses the public organisation",
          "[organisations]") {
  // Guards against callers without a key on the connection of an organisation.
  RelaySetup Fixture(12, 10);
  RoutePlan Plan = planOfOrganisations(2, {"mills"});
  Plan.Routes.front().IsPublic = true;
  Fixture.System.applyPlan(Plan);
  const auto Known = Fixture.System.connect(0, "own", "mills-key");
  REQUIRE_FALSE(
      Fixture.System.ask(Known, Kind::Write, "w", "STORE x 1").Refusal);
  const auto Anyone = Fixture.System.connect(0, "primary");
  REQUIRE_FALSE(
      Fixture.System.ask(Anyone, Kind::Write, "p", "STORE x 1").Refusal);
  CHECK(Fixture.Group.run("w")->Organisation == "mills");
  CHECK(Fixture.Group.run("p")->Organisation == PublicOrganisation);
}

TEST_CASE("Proxies receive no keys", "[organisations]") {
  // Guards against keys in frames between processes.
  RoutePlan Plan = planOfOrganisations(1, {"mills"});
  Plan.Document = R"({"api_keys": ["mills-key"]})";
  REQUIRE(encode(Plan).find("mills-key") != std::string::npos);
  CHECK(encode(replaceKeysByDigests(Plan, "secret")).find("mills-key") ==
        std::string::npos);
}

TEST_CASE("Organisations of a plan are validated together", "[organisations]") {
  RoutePlan Plan = planOfOrganisations(1, {"mills", "mills", "clerks", ""});
  Plan.Organisations[2].Keys = {"mills-key", "two words"};
  Plan.Organisations[2].Limit = Quota{-1, 5};
  const auto Faults = validationErrors(Plan);
  CHECK(Faults.size() == 5);
  for (const std::string &Each : Faults)
    CHECK(Each.find("mills-key") == std::string::npos);
  CHECK(validationErrors(planOfOrganisations(1, {"mills", "clerks"})).empty());
}

TEST_CASE("The plan document declares organisations and their quotas",
          "[platform][organisations]") {
  const auto Plan = platform::parsePlan(R"({"version": 3, "routes": [],
    "services": [], "tenants": [
      {"name": "mills", "api_keys": ["k1", "k2"], "priority": 1,
       "rate_per_s": 17.5, "burst": 20},
      {"name": "clerks", "api_keys": []}]})");
  REQUIRE(Plan);
  REQUIRE(Plan->Organisations.size() == 2);
  CHECK(Plan->Organisations[0].Keys == std::vector<std::string>{"k1", "k2"});
  CHECK(Plan->Organisations[0].Limit == Quota{17.5, 20});
  CHECK_FALSE(Plan->Organisations[1].Limit);
  CHECK_FALSE(platform::parsePlan(R"({"version": 3, "routes": [],
    "services": [], "tenants": [{"name": "a", "api_keys": ["k"]},
                                {"name": "b", "api_keys": ["k"]}]})"));
}
