/// \file
/// An accepted manifest is in force everywhere within seconds and never
/// reverts, judged by what operators and callers receive.

#include "FakeCluster.h"
#include "Operators/OperatorService.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace corianderdyke;

namespace {

/// What an operator received.
class OperatorExchange final : public HttpExchange {
public:
  void respond(HttpResponse Response) override {
    if (!Answer)
      Answer = std::move(Response);
  }
  void onDisconnect(std::function<void()>) override {}

  std::optional<HttpResponse> Answer;
};

/// The manifest of the cluster with another version and queue limit.
std::string manifestText(std::uint64_t Version, int Queue = 200) {
  std::string Text = FakeCluster::BaseManifest;
  Text.replace(Text.find("version = 1"), 11,
               "version = " + std::to_string(Version));
  return Text + "[limits]\nqueue_per_database = " + std::to_string(Queue) +
         "\n";
}

std::string withoutLookups(std::uint64_t Version) {
  std::string Text = manifestText(Version);
  Text.replace(Text.find("\"lookup\""), 8, "\"search\"");
  return Text;
}

class Operators {
public:
  explicit Operators(std::uint64_t Seed = 1) : Cluster(Seed) {
    Cluster.startAndAwaitWritable(manifestText(1));
  }

  /// Sends a request to the operators' port of a control host.
  std::shared_ptr<OperatorExchange> send(const std::string &Host,
                                         HttpMethod Method,
                                         const std::string &Body = {}) {
    auto Exchange = std::make_shared<OperatorExchange>();
    HttpRequest Request;
    Request.Method = Method;
    Request.Path = "/v1/manifest";
    Request.Body = Body;
    Request.Headers = {{operator_header::Key, AnyKey}};
    FakeHost &At = *Cluster.Hosts.at(Host);
    const auto Port = static_cast<std::uint16_t>(Peers.size() + 1);
    Peers.push_back(Cluster.Net.attach(At, {"10.9.0.1", Port}));
    Services.push_back(std::make_unique<OperatorService>(
        OperatorSources{At, *Peers.back(), Cluster.Controls.at(Host)}, AnyKey));
    Services.back()->handle(Request, Exchange);
    return Exchange;
  }

  /// Sends a manifest to the leader and waits for the answer.
  HttpResponse apply(const std::string &Text) {
    REQUIRE(waitFor([&] { return Cluster.leader() != nullptr; }));
    const auto Sent = send(leaderName(), HttpMethod::Post, Text);
    REQUIRE(waitFor([&] { return Sent->Answer.has_value(); }));
    return *Sent->Answer;
  }

  bool waitFor(const std::function<bool()> &Condition,
               Millis Timeout = Millis(20000)) {
    return Cluster.Loop.runUntilTrue(Condition, Timeout);
  }

  std::string leaderName() { return Cluster.leader()->consensus().leader(); }

  /// Loses all that goes between a host and the others, but for some.
  void cutOff(const std::string &Name, const std::string &But = {}) {
    for (const auto &[Other, Host] : Cluster.Hosts)
      if (Other != Name && Other != But)
        Cluster.Net.cutBoth(Name, Other);
  }

  std::uint64_t versionAt(const std::string &Proxy) {
    const auto &Current = Cluster.Proxies.at(Proxy)->view().CurrentManifest;
    return Current ? Current->Version : 0;
  }

  bool isEverywhere(std::uint64_t Version) {
    for (const auto &[Name, Each] : Cluster.Proxies)
      if (!Each->isReady() || versionAt(Name) != Version)
        return false;
    return true;
  }

  FakeCluster Cluster;

private:
  static constexpr const char *AnyKey = "a key for operators";

  std::vector<std::unique_ptr<Transport>> Peers;
  std::vector<std::unique_ptr<OperatorService>> Services;
};

} // namespace

TEST_CASE("Of two manifests with the same version one is accepted",
          "[manifest]") {
  // Two operators race with version 2 and other content. One is told that it
  // is accepted, the other gets a conflict that names both digests.
  Operators Ops;
  const std::string Host = Ops.leaderName();
  const auto First = Ops.send(Host, HttpMethod::Post, manifestText(2, 100));
  const auto Second = Ops.send(Host, HttpMethod::Post, manifestText(2, 300));
  REQUIRE(Ops.waitFor([&] { return First->Answer && Second->Answer; }));
  CHECK(First->Answer->Status == 200);
  CHECK(Second->Answer->Status == 409);
  const auto Accepted = nlohmann::json::parse(First->Answer->Body);
  CHECK_THAT(Second->Answer->Body,
             Catch::Contains(Accepted.at("digest").get<std::string>()));
  CHECK_THAT(Second->Answer->Body, Catch::Contains("the one sent has"));
}

TEST_CASE("A manifest sent again gets the same answer", "[manifest]") {
  // The answer was lost and the pipeline sends the change once more: it
  // receives the answer that was lost, with its revision, and the proxies
  // receive nothing. Once a later version is in force it's told so instead,
  // and that its own had been accepted.
  Operators Ops;
  const HttpResponse First = Ops.apply(manifestText(2));
  REQUIRE(First.Status == 200);
  const std::uint64_t Revision =
      Ops.Cluster.leader()->appliedState().view().Revision;
  CHECK(Ops.apply(manifestText(2)) == First);
  CHECK(Ops.Cluster.leader()->appliedState().view().Revision == Revision);
  REQUIRE(Ops.apply(manifestText(3)).Status == 200);
  const HttpResponse Late = Ops.apply(manifestText(2));
  CHECK(Late.Status == 409);
  CHECK_THAT(Late.Body, Catch::Contains("accepted with this content"));
}

TEST_CASE("A manifest is sent while the leader is lost", "[manifest]") {
  // The leader is cut off in the moment in which it takes the change. The
  // operator is told to send it again, does so, and gets one acceptance; the
  // proxies come to it and never go back.
  const auto Seed = GENERATE(range(1, 6));
  Operators Ops(static_cast<std::uint64_t>(Seed));
  const std::string Old = Ops.leaderName();
  const bool Lost = GENERATE(true, false);
  const auto Sent = Ops.send(Old, HttpMethod::Post, manifestText(2));
  if (!Lost)
    Ops.Cluster.Loop.runFor(Millis(1 + Seed % 3));
  Ops.cutOff(Old);
  REQUIRE(Ops.waitFor([&] { return Sent->Answer.has_value(); }));
  if (Lost) {
    CHECK(Sent->Answer->Status == 503);
    CHECK_THAT(Sent->Answer->Body, Catch::Contains("send it again"));
  }
  REQUIRE(Ops.waitFor([&] {
    return Ops.Cluster.leader() != nullptr && Ops.leaderName() != Old;
  }));
  const HttpResponse Again = Ops.apply(manifestText(2));
  CHECK(Again.Status == 200);
  Ops.Cluster.Net.heal();
  REQUIRE(Ops.waitFor([&] { return Ops.isEverywhere(2); }));
  CHECK(Ops.apply(manifestText(2)) == Again);
}

TEST_CASE("A stale control host hands out nothing old", "[manifest]") {
  // The leader sits behind a partition with one proxy while the operators
  // forbid lookups. That proxy refuses within seconds, the stale host tells
  // an operator that it doesn't lead, and after ten minutes its return brings
  // nothing back.
  Operators Ops;
  const std::string Old = Ops.leaderName();
  Ops.cutOff("entry-1", Old);
  Ops.cutOff(Old, "entry-1");
  Ops.Cluster.Net.heal("entry-1", "caller");
  // It still takes itself for the leader.
  const auto Early = Ops.send(Old, HttpMethod::Get);
  REQUIRE(Ops.waitFor([&] {
    return Ops.Cluster.leader() != nullptr && Ops.leaderName() != Old;
  }));
  REQUIRE(Ops.apply(withoutLookups(2)).Status == 200);
  const std::uint64_t Revision =
      Ops.Cluster.leader()->appliedState().view().Revision;
  REQUIRE(Ops.waitFor([&] { return Ops.Cluster.leader()->isInForce(Revision); },
                      Millis(6000)));
  const CallerRequest Lookup{.Kind = "lookup", .Body = "get bale"};
  CHECK(Ops.Cluster.sendAndWait("entry-1", Lookup).Outcome == "not-run");
  const auto Asked = Ops.send(Old, HttpMethod::Get);
  Ops.Cluster.Loop.runFor(Millis(600000));
  REQUIRE(Asked->Answer);
  CHECK(Asked->Answer->Status == 421);
  REQUIRE(Early->Answer);
  CHECK(Early->Answer->Status == 421);
  Ops.Cluster.Net.heal();
  REQUIRE(Ops.waitFor([&] { return Ops.isEverywhere(2); }));
  CHECK(Ops.Cluster.sendAndWait("entry-1", Lookup).Outcome == "not-run");
}

TEST_CASE("In force means that no proxy acts on the older manifest",
          "[manifest]") {
  // The leader is cut off with a proxy and goes on taking itself for the
  // leader for a while. If it granted leases meanwhile, the proxy would serve
  // lookups after the operator was told that the manifest without them is in
  // force.
  const auto Seed = GENERATE(range(1, 21));
  Operators Ops(static_cast<std::uint64_t>(Seed));
  const std::string Old = Ops.leaderName();
  Ops.cutOff("entry-1", Old);
  Ops.cutOff(Old, "entry-1");
  REQUIRE(Ops.waitFor([&] {
    return Ops.Cluster.leader() != nullptr && Ops.leaderName() != Old;
  }));
  REQUIRE(Ops.apply(withoutLookups(2)).Status == 200);
  const std::uint64_t Revision =
      Ops.Cluster.leader()->appliedState().view().Revision;
  REQUIRE(Ops.waitFor([&] { return Ops.Cluster.leader()->isInForce(Revision); },
                      Millis(6000)));
  CHECK_FALSE(Ops.Cluster.Proxies.at("entry-1")->isReady());
}

TEST_CASE("A proxy that reaches only a stale control host serves nothing",
          "[manifest]") {
  // A proxy starts and finds a control host that was cut off before the
  // operators forbade lookups. It gets no lease from it, so callers are told
  // "not run"; once it reaches the others it comes up with the latest.
  Operators Ops;
  const std::string Old = Ops.leaderName();
  Ops.cutOff(Old, "entry-1");
  REQUIRE(Ops.waitFor([&] {
    return Ops.Cluster.leader() != nullptr && Ops.leaderName() != Old;
  }));
  REQUIRE(Ops.apply(withoutLookups(2)).Status == 200);
  Ops.Cluster.kill("entry-1");
  Ops.cutOff("entry-1", Old);
  Ops.Cluster.startProxy("entry-1");
  Ops.Cluster.Loop.runFor(Millis(10000));
  CHECK_FALSE(Ops.Cluster.Proxies.at("entry-1")->isReady());
  CHECK(Ops.versionAt("entry-1") == 0);
  Ops.Cluster.Net.heal();
  REQUIRE(Ops.waitFor([&] { return Ops.isEverywhere(2); }));
}

TEST_CASE("All processes restart after 300 changes", "[manifest]") {
  // Hundreds of manifests are accepted, control hosts compact their journals
  // and restart meanwhile, then everything restarts at once. All come back at
  // the latest one and a resend of it gets its first answer.
  Operators Ops;
  const std::string Padding = "# " + std::string(20000, 'x') + "\n";
  constexpr std::uint64_t Changes = 300;
  HttpResponse Last;
  for (std::uint64_t Version = 2; Version <= Changes + 1; ++Version) {
    Last = Ops.apply(Padding + manifestText(Version));
    REQUIRE(Last.Status == 200);
    if (Version % 60 == 0) {
      const std::string Name =
          "control-" + std::to_string(Version / 60 % 3 + 1);
      Ops.Cluster.kill(Name);
      Ops.Cluster.startControl(Name);
    }
  }
  CHECK(Ops.Cluster.leader()->consensus().log().snapshotIndex() > 0);
  for (const std::string Name :
       {"control-1", "control-2", "control-3", "entry-1", "entry-2"})
    Ops.Cluster.kill(Name);
  for (const std::string Name : {"control-1", "control-2", "control-3"})
    Ops.Cluster.startControl(Name);
  for (const std::string Name : {"entry-1", "entry-2"})
    Ops.Cluster.startProxy(Name);
  REQUIRE(Ops.waitFor([&] { return Ops.isEverywhere(Changes + 1); }));
  CHECK(Ops.apply(Padding + manifestText(Changes + 1)) == Last);
}

TEST_CASE("Control hosts are replaced by command", "[manifest]") {
  // An operator takes a control host out. The answer comes once the change is
  // committed, the audit trail holds it, and a change of a host that isn't
  // there is refused.
  Operators Ops;
  const std::string Name =
      Ops.leaderName() == "control-1" ? "control-2" : "control-1";
  std::optional<Expected<ApplyResult>> Removed;
  std::optional<Expected<ApplyResult>> Refused;
  Ops.Cluster.leader()->removeControlHost(
      Name, [&](const Expected<ApplyResult> &Result) { Removed = Result; });
  Ops.Cluster.leader()->addControlHost(
      "control-9",
      [&](const Expected<ApplyResult> &Result) { Refused = Result; });
  REQUIRE(Refused);
  CHECK(Refused->error().Code == ErrorCode::Conflict);
  REQUIRE(Ops.waitFor([&] { return Removed.has_value(); }));
  REQUIRE(*Removed);
  const std::vector<AuditRecord> &Trail =
      Ops.Cluster.leader()->appliedState().audit();
  const auto Line =
      std::find_if(Trail.begin(), Trail.end(), [&](const AuditRecord &Each) {
        return Each.Revision == (*Removed)->Revision;
      });
  REQUIRE(Line != Trail.end());
  CHECK(Line->Action == "control-hosts-changed");
  CHECK(Line->To.find(Name) == std::string::npos);
}
