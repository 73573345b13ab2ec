/// \file
/// Targets that leave, fall silent or announce wrongly, judged by what callers
/// got and what operators find in the audit trail.

#include "FailoverSupport.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

/// Announces through a proxy as some host with the key would.
void announceAs(FakeCluster &Cluster, const TargetAnnouncement &Said) {
  struct Silent final : HttpExchange {
    void respond(HttpResponse) override {}
    void onDisconnect(std::function<void()>) override {}
  };
  HttpRequest Request;
  Request.Method = HttpMethod::Post;
  Request.Path = "/announce";
  Request.Headers = {
      {"Target-Key", "a key for the cluster in memory"},
      {"Target-Name", Said.Name},
      {"Target-Database", Said.Database},
      {"Target-Region", Said.TargetLocality.Region},
      {"Target-Failure-Domain", Said.TargetLocality.FailureDomain},
      {"Target-Host", Said.TargetLocality.Host},
      {"Target-Address", Said.Address.text()},
      {"Target-Sequence", std::to_string(Said.Sequence)},
      {"Target-Leaving", Said.Leaving ? "true" : "false"}};
  Cluster.Proxies["entry-1"]->handle(Request, std::make_shared<Silent>());
}

} // namespace

TEST_CASE("A leaving target gets nothing new and cuts nothing",
          "[membership]") {
  // A target announces that it leaves while callers write and read at all
  // proxies, one of which may be cut off from control at that moment. No
  // request is cut (but for those at the lone proxy, whose lease runs out),
  // and after a few seconds nothing is served by the leaving target any more,
  // whether it was the primary or a replica.
  const bool IsPrimary = GENERATE(true, false);
  const bool ProxyCutOff = GENERATE(true, false);
  const auto Seed = GENERATE(range(1, 4));
  CAPTURE(IsPrimary, ProxyCutOff, Seed);
  FakeCluster Cluster(static_cast<std::uint64_t>(Seed), 3, 3);
  Cluster.TargetOptions.ServiceTime = Millis(20);
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  const std::string Primary = primaryOf(Cluster);
  const std::string Leaving =
      IsPrimary ? Primary : targetsExcept(Cluster, Primary)[0];
  std::vector<std::shared_ptr<CallerResponse>> Answers;
  std::vector<std::shared_ptr<CallerResponse>> Late;
  for (int Round = 0; Round < 200; ++Round) {
    if (Round == 20) {
      Cluster.Targets[Leaving]->leave();
      for (const auto &[Name, Node] : Cluster.Controls)
        if (ProxyCutOff)
          Cluster.Net.cutBoth("entry-3", Name);
    }
    for (const char *Proxy : {"entry-1", "entry-2", "entry-3"}) {
      const bool Write = Round % 2 == 0;
      CallerRequest Question{.Kind = Write ? "handover" : "lookup",
                             .Body = Write ? "add moves 1" : "get moves"};
      if (Write)
        Question.Key = Proxy + std::to_string(Round);
      const auto Answer = Cluster.send(Proxy, Question);
      if (Round >= 120)
        Late.push_back(Answer);
      else if (!ProxyCutOff || std::string(Proxy) != "entry-3")
        Answers.push_back(Answer);
    }
    Cluster.Loop.runFor(Millis(25));
  }
  Cluster.Loop.runFor(Millis(6000));
  for (const auto &Each : Answers)
    if (Each->Outcome != "not-run")
      CHECK(Each->Outcome == "done");
  std::size_t Served = 0;
  for (const auto &Each : Late) {
    Served += Each->Outcome == "done" ? 1U : 0U;
    CHECK(Each->Target != Leaving);
  }
  CHECK(Served >= (ProxyCutOff ? 150U : 230U));
  if (IsPrimary)
    CHECK(lastAuditReason(Cluster, "primary-draining") ==
          Leaving + " is leaving");
}

TEST_CASE("A leaving primary stays while nobody could follow it",
          "[membership]") {
  // Two of three targets are down and the primary announces that it leaves.
  // Handing over would leave callers without a primary; the audit trail says
  // what it waits for, and strict reads are still answered.
  FakeCluster Cluster(1);
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  const std::string Primary = primaryOf(Cluster);
  for (const std::string &Each : targetsExcept(Cluster, Primary))
    Cluster.kill(Each);
  Cluster.Loop.runFor(Millis(1000));
  Cluster.Targets[Primary]->leave();
  Cluster.Loop.runFor(Millis(3000));
  CHECK(Cluster.sendAndWait("entry-1", {.Kind = "lookup", .Body = "get a"})
            .Outcome == "done");
  CHECK(lastAuditReason(Cluster, "hand-over-waiting") ==
        Primary + " is leaving; 0 other targets can take over, 2 are needed");
}

TEST_CASE("A wrong announcement displaces no live target", "[membership]") {
  // A host with the right key announces itself under a live target's name, as
  // a fourth member, or for a database that nobody declared. Callers go on as
  // before, and the audit trail names each refusal once.
  FakeCluster Cluster(1);
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  const std::string Primary = primaryOf(Cluster);
  const TargetAnnouncement Live =
      *Cluster.leader()->appliedState().view().target(Primary);
  TargetAnnouncement Wrong = Live;
  Wrong.Sequence += 1000;
  Wrong.Address.Port = 99;
  TargetAnnouncement Fourth = Wrong;
  Fourth.Name = "fourth";
  TargetAnnouncement Nowhere = Wrong;
  Nowhere.Name = "nowhere";
  Nowhere.Database = "undeclared";
  for (int Round = 0; Round < 5; ++Round) {
    for (const TargetAnnouncement &Each : {Wrong, Fourth, Nowhere})
      announceAs(Cluster, Each);
    Cluster.Loop.runFor(Millis(200));
  }
  const CallerResponse Written =
      Cluster.sendAndWait("entry-1", {.Key = "k", .Body = "put a b"});
  CHECK(Written.Outcome == "done");
  CHECK(Written.Target == Primary);
  std::vector<std::string> Refused;
  for (const AuditRecord &Each : Cluster.leader()->appliedState().audit())
    if (Each.Action == "target-refused")
      Refused.push_back(Each.Subject);
  CHECK(Refused == std::vector<std::string>{Primary, "fourth", "nowhere"});
}

TEST_CASE("A silent target gives up its place after a minute", "[membership]") {
  // A replica's host is gone for good and another host takes its place under
  // a new name. Its place is kept at first, as its log may be needed; then the
  // new one joins, catches up, and can save the confirmed writes.
  FakeCluster Cluster(1);
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  const std::string Primary = primaryOf(Cluster);
  const std::string Gone = targetsExcept(Cluster, Primary)[0];
  const std::string Other = targetsExcept(Cluster, Primary)[1];
  Cluster.kill(Gone);
  Cluster.startTarget("replacement", "bale-ledger-1");
  Cluster.Loop.runFor(Millis(50000));
  CHECK(lastAuditReason(Cluster, "target-removed").empty());
  REQUIRE(Cluster.Loop.runUntilTrue(
      [&] { return !lastAuditReason(Cluster, "target-settled").empty(); },
      Millis(30000)));
  CHECK(!lastAuditReason(Cluster, "target-removed").empty());
  Cluster.Net.cutBoth(Primary, Other);
  const CallerResponse Written = sendWithRetries(
      Cluster, "entry-1", {.Key = "k", .Body = "put bale haulier"});
  REQUIRE(Written.Outcome == "done");
  Cluster.kill(Primary);
  const CallerResponse Read = sendWithRetries(
      Cluster, "entry-2",
      {.Kind = "lookup", .Body = "get bale", .Session = Written.Session});
  CHECK(Read.Body == "haulier");
}
