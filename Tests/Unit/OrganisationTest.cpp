/// \file
/// For whom statements run, where the plan declares organisations and targets
/// enforce their leadership.

#include "Common/Codec.h"
#include "FakeRelay.h"
#include "PlanDocument.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

using Kind = StatementKind;

/// One proxy before a group, under a plan of some organisations.
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

/// Two organisations whose keys are exchanged by the later of two plans.
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

TEST_CASE("A session's statements run for its key's organisation alone",
          "[organisations]") {
  // Guards against a connection that one organisation's session leaves to
  // another's.
  Setup On;
  for (int Round = 0; Round < 20; ++Round)
    for (const char *Name : {"mills", "clerks"}) {
      const auto Session = On.Proxy.connect("own", std::string(Name) + "-key");
      const std::string Id = Name + std::to_string(Round);
      REQUIRE_FALSE(
          On.Proxy.ask(Session, Kind::Write, Id, "STORE x 1").Refusal);
      CHECK(On.Group.run(Id)->Organisation == Name);
      REQUIRE_FALSE(
          On.Proxy.ask(Session, Kind::Read, Id + "r", "FETCH x").Refusal);
      CHECK(On.Group.run(Id + "r")->Organisation == Name);
      On.Proxy.Pipeline.handleDisconnect(Session.Id);
    }
}

TEST_CASE("Gateways give no organisation another one's connection",
          "[organisations][relay]") {
  // Guards against mixed organisations where far more of them than connections
  // come through many proxies, with transactions that callers leave.
  RelaySetup On(12, 10);
  const std::vector<std::string> All = names(30);
  On.System.applyPlan(planOfOrganisations(2, All));
  std::vector<FakeRelaySystem::Session> Sessions;
  std::map<std::string, std::string> Expected; // Organisation by id.
  for (std::size_t Each = 0; Each < 90; ++Each) {
    const std::string &Name = All[Each * 7 % All.size()];
    const auto Session = On.System.connect(Each % 12, "own", Name + "-key");
    const std::string Id = "s" + std::to_string(Each);
    Expected[Id] = Name;
    if (Each % 3 == 0)
      On.System.send(Session, Kind::Begin);
    On.System.send(Session, Each % 2 == 0 ? Kind::Write : Kind::Read, Id,
                   Each % 2 == 0 ? "STORE x 1" : "FETCH x");
    Sessions.push_back(Session);
    On.Loop.runFor(Millis(5));
    if (Each % 6 == 0)
      Session.At->Pipeline.handleDisconnect(Session.Id);
    else if (Each % 3 == 0)
      On.System.send(Session, Kind::Commit, Id + "c");
    Expected[Id + "c"] = Name;
  }
  On.Loop.runFor(Millis(2000));
  REQUIRE(On.Group.Runs.size() > 60);
  for (const FakeExecution &Each : On.Group.Runs) {
    CAPTURE(Each.Id);
    CHECK(Each.Organisation == Expected.at(Each.Id));
  }
}

TEST_CASE("More organisations than connections are all served",
          "[organisations][relay]") {
  // Guards against idle connections of some organisations that keep others
  // from ever having one.
  RelaySetup On(12, 10);
  const std::vector<std::string> All = names(60);
  On.System.applyPlan(planOfOrganisations(2, All));
  std::size_t Served = 0;
  for (std::size_t Each = 0; Each < All.size(); ++Each) {
    const auto Session =
        On.System.connect(Each % 12, "primary", All[Each] + "-key");
    Served += On.System
                      .ask(Session, Kind::Write, "w" + std::to_string(Each),
                           "STORE x 1")
                      .Refusal
                  ? 0
                  : 1;
  }
  CHECK(Served == All.size());
}

TEST_CASE("An unknown key is refused, and only by who is sure",
          "[organisations]") {
  // Guards against a valid key that is refused for good by a proxy whose plan
  // is older than the key.
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
  const auto Unsure = Open("clerks-key");
  const auto Never = Open("other");
  Loop.runFor(Millis(300));
  CHECK_FALSE(Unsure->IsOpen);
  CHECK_FALSE(Unsure->Rejected);
  Pipeline.adopt(
      replaceKeysByDigests(planOfOrganisations(2, {"mills", "clerks"}), ""));
  CHECK(Unsure->IsOpen);
  Loop.runFor(Millis(2000));
  REQUIRE(Never->Rejected);
  CHECK(Never->Rejected->Code == RefusalCode::Busy);

  const auto Late = Open("other");
  Loop.runFor(Millis(100));
  IsCurrent = true;
  Loop.runFor(Millis(100));
  REQUIRE(Late->Rejected);
  CHECK(Late->Rejected->Code == RefusalCode::Unauthorised);
}

TEST_CASE("A key that is taken away ends its sessions, in order",
          "[organisations]") {
  // Guards against statements that run for a key which no plan holds any more,
  // and against cut answers of those under way.
  Setup On;
  const auto Idle = On.Proxy.connect("primary", "mills-key");
  const auto Busy = On.Proxy.connect("primary", "mills-key");
  const auto Inside = On.Proxy.connect("primary", "mills-key");
  const auto Resting = On.Proxy.connect("primary", "mills-key");
  const auto Other = On.Proxy.connect("primary", "clerks-key");
  for (const auto &Each : {Inside, Resting}) {
    On.Proxy.ask(Each, Kind::Begin);
    REQUIRE_FALSE(
        On.Proxy
            .ask(Each, Kind::Write, "t" + std::to_string(Each.Id), "STORE x 1")
            .Refusal);
  }
  On.Proxy.send(Busy, Kind::Write, "busy", "STORE x 1");
  On.Loop.runFor(Millis(2));
  On.adopt(planOfOrganisations(3, {"clerks"}));

  CHECK(Idle.Caller->IsClosed);
  CHECK_FALSE(Busy.Caller->IsClosed);
  CHECK_FALSE(Other.Caller->IsClosed);
  On.Loop.runFor(Millis(200));
  REQUIRE(Busy.Caller->Answers.size() == 1);
  CHECK_FALSE(Busy.Caller->last().Refusal);
  CHECK(Busy.Caller->IsClosed);
  // A transaction may end, and its session ends with it.
  CHECK_FALSE(On.Proxy.ask(Inside, Kind::Commit, "commit").Refusal);
  CHECK(Inside.Caller->IsClosed);
  // One that rests for longer is ended.
  On.Loop.runFor(Millis(1500));
  const StatementAnswer Late =
      On.Proxy.ask(Resting, Kind::Write, "late", "STORE x 1");
  REQUIRE(Late.Refusal);
  CHECK(Late.Refusal->Code == RefusalCode::Aborted);
  CHECK(On.Group.runs("late") == 0);
  On.Proxy.send(Resting, Kind::Rollback);
  CHECK(Resting.Caller->IsClosed);
  CHECK_FALSE(On.Proxy.ask(Other, Kind::Write, "other", "STORE x 1").Refusal);
}

TEST_CASE("Statements sent ahead don't run once the key is gone",
          "[organisations]") {
  // Guards against a queue of statements that outlives its session's key.
  Setup On;
  const auto Session = On.Proxy.connect("primary", "mills-key");
  for (int Each = 0; Each < 5; ++Each)
    On.Proxy.send(Session, Kind::Write, "w" + std::to_string(Each),
                  "STORE x 1");
  On.Loop.runFor(Millis(2));
  On.adopt(planOfOrganisations(3, {"clerks"}));
  On.Loop.runFor(Millis(500));
  CHECK(On.Group.runs("w1") == 0);
  REQUIRE(Session.Caller->Rejected);
  CHECK(Session.Caller->Rejected->Code == RefusalCode::Unauthorised);
}

TEST_CASE("A key that moves to another organisation takes its callers along",
          "[organisations]") {
  // Guards against a session that runs on for the former holder of its key.
  Setup On;
  const auto Before = On.Proxy.connect("primary", "mills-key");
  REQUIRE_FALSE(
      On.Proxy.ask(Before, Kind::Write, "before", "STORE x 1").Refusal);
  On.adopt(swappedKeys());
  CHECK(Before.Caller->IsClosed);
  const auto After = On.Proxy.connect("primary", "mills-key");
  REQUIRE_FALSE(On.Proxy.ask(After, Kind::Write, "after", "STORE x 1").Refusal);
  CHECK(On.Group.run("before")->Organisation == "mills");
  CHECK(On.Group.run("after")->Organisation == "clerks");
}

TEST_CASE("A public route needs no key and runs for nobody's organisation",
          "[organisations]") {
  // Guards against callers without a key on some organisation's connection.
  RelaySetup On(12, 10);
  RoutePlan Plan = planOfOrganisations(2, {"mills"});
  Plan.Routes.front().IsPublic = true;
  On.System.applyPlan(Plan);
  const auto Known = On.System.connect(0, "own", "mills-key");
  REQUIRE_FALSE(On.System.ask(Known, Kind::Write, "w", "STORE x 1").Refusal);
  const auto Anyone = On.System.connect(0, "primary");
  REQUIRE_FALSE(On.System.ask(Anyone, Kind::Write, "p", "STORE x 1").Refusal);
  CHECK(On.Group.run("w")->Organisation == "mills");
  CHECK(On.Group.run("p")->Organisation == PublicOrganisation);
}

TEST_CASE("Proxies are told no key", "[organisations]") {
  // Guards against keys in frames between processes.
  RoutePlan Plan = planOfOrganisations(1, {"mills"});
  Plan.Document = R"({"api_keys": ["mills-key"]})";
  REQUIRE(encode(Plan).find("mills-key") != std::string::npos);
  CHECK(encode(replaceKeysByDigests(Plan, "secret")).find("mills-key") ==
        std::string::npos);
}

TEST_CASE("Organisations of a plan are checked together", "[organisations]") {
  RoutePlan Plan = planOfOrganisations(1, {"mills", "mills", "clerks", ""});
  Plan.Organisations[2].Keys = {"mills-key", "two words"};
  Plan.Organisations[2].Limit = Quota{-1, 5};
  const auto Faults = validationErrors(Plan);
  CHECK(Faults.size() == 5);
  for (const std::string &Each : Faults)
    CHECK(Each.find("mills-key") == std::string::npos);
  CHECK(validationErrors(planOfOrganisations(1, {"mills", "clerks"})).empty());
}

TEST_CASE("The operators' document names organisations and their quotas",
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
