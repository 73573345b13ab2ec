/// \file
/// Targets that leave, stop responding or announce wrong data, checked by the
/// responses to callers and by the audit trail.

#include "FailoverSupport.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

/// Sends \p Announcement to a proxy, as any host that has the key can.
void announceAs(FakeCluster &Cluster, const TargetAnnouncement &Announcement) {
  struct DiscardingExchange final : HttpExchange {
    void respond(HttpResponse) override {}
    void onDisconnect(std::function<void()>) override {}
  };
  HttpRequest Request;
  Request.Method = HttpMethod::Post;
  Request.Path = "/announce";
  Request.Headers = {
      {"Target-Key", "a key for the cluster in memory"},
      {"Target-Name", Announcement.Name},
      {"Target-Database", Announcement.Database},
      {"Target-Region", Announcement.TargetLocality.Region},
      {"Target-Failure-Domain", Announcement.TargetLocality.FailureDomain},
      {"Target-Host", Announcement.TargetLocality.Host},
      {"Target-Address", Announcement.Address.text()},
      {"Target-Sequence", std::to_string(Announcement.Sequence)},
      {"Target-Leaving", Announcement.Leaving ? "true" : "false"}};
  Cluster.Proxies["entry-1"]->handle(Request,
                                     std::make_shared<DiscardingExchange>());
}

} // namespace

TEST_CASE("A leaving target gets no new requests and interrupts none",
          "[membership]") {
  // A target announces that it leaves while callers write and read at all
  // proxies, one of which may be partitioned from control at that moment. No
  // request may be interrupted, except at the partitioned proxy, whose lease
  // expires. After a few seconds the leaving target must serve no request,
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

TEST_CASE("A leaving primary stays while no target can take over",
          "[membership]") {
  // Two of three targets are down and the primary announces that it leaves. A
  // handover would leave callers without a primary. The audit trail must name
  // what the handover waits for, and strict reads must still succeed.
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
  // A host with the right key announces itself under the name of a live target,
  // as a fourth member, or for an undeclared database. Callers must not be
  // affected, and the audit trail must contain each refusal once.
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
  TargetAnnouncement Undeclared = Wrong;
  Undeclared.Name = "nowhere";
  Undeclared.Database = "undeclared";
  for (int Round = 0; Round < 5; ++Round) {
    for (const TargetAnnouncement &Each : {Wrong, Fourth, Undeclared})
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

TEST_CASE("An unresponsive target loses its membership after a minute",
          "[membership]") {
  // The host of a replica is lost permanently and another host replaces it
  // under a new name. The membership of the lost replica is kept at first, as
  // its log may be needed. Then the replacement joins, catches up, and counts
  // towards the copies of confirmed writes.
  FakeCluster Cluster(1);
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  const std::string Primary = primaryOf(Cluster);
  const std::string LostReplica = targetsExcept(Cluster, Primary)[0];
  const std::string Other = targetsExcept(Cluster, Primary)[1];
  Cluster.kill(LostReplica);
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
