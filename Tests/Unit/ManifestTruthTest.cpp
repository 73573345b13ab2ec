/// \file
/// An accepted manifest is in force at all proxies within seconds and is never
/// reverted, checked by the responses to operators and callers.

#include "FakeCluster.h"
#include "Operators/OperatorService.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace corianderdyke;

namespace {

/// Records the response to an operator.
class OperatorExchange final : public HttpExchange {
public:
  void respond(HttpResponse Response) override {
    if (!Answer)
      Answer = std::move(Response);
  }
  void onDisconnect(std::function<void()>) override {}

  std::optional<HttpResponse> Answer;
};

/// Returns the base manifest with the given version and queue limit.
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

  /// Sends a request to the operator service of the control host \p Host.
  std::shared_ptr<OperatorExchange> send(const std::string &Host,
                                         HttpMethod Method,
                                         const std::string &Body = {}) {
    auto Exchange = std::make_shared<OperatorExchange>();
    HttpRequest Request;
    Request.Method = Method;
    Request.Path = "/v1/manifest";
    Request.Body = Body;
    Request.Headers = {{operator_header::Key, AnyKey}};
    FakeHost &Node = *Cluster.Hosts.at(Host);
    const auto Port = static_cast<std::uint16_t>(Peers.size() + 1);
    Peers.push_back(Cluster.Net.attach(Node, {"10.9.0.1", Port}));
    Services.push_back(std::make_unique<OperatorService>(
        OperatorSources{Node, *Peers.back(), Cluster.Controls.at(Host)},
        AnyKey));
    Services.back()->handle(Request, Exchange);
    return Exchange;
  }

  /// Sends a manifest to the leader and waits for the response.
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

  /// Partitions the host \p Name from all other hosts except \p But.
  void isolate(const std::string &Name, const std::string &Except = {}) {
    for (const auto &[Other, Host] : Cluster.Hosts)
      if (Other != Name && Other != Except)
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
  // Two operators concurrently send version 2 with different content. One
  // manifest is accepted; the other operator receives a conflict that names
  // both digests.
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
  // A response is lost and the pipeline retries. It must receive the original
  // response with its revision, and the proxies must receive no update. Once a
  // later version is in force, the response is a conflict which also states
  // that this manifest was accepted.
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
  // The leader is partitioned when it receives a manifest. The operator is
  // asked to retry, does so, and the manifest is accepted once; all proxies
  // must reach that version and keep it.
  const auto Seed = GENERATE(range(1, 6));
  Operators Ops(static_cast<std::uint64_t>(Seed));
  const std::string Old = Ops.leaderName();
  const bool Lost = GENERATE(true, false);
  const auto Sent = Ops.send(Old, HttpMethod::Post, manifestText(2));
  if (!Lost)
    Ops.Cluster.Loop.runFor(Millis(1 + Seed % 3));
  Ops.isolate(Old);
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

TEST_CASE("A stale control host serves no old manifest", "[manifest]") {
  // The leader is partitioned together with one proxy while the operators
  // forbid lookups. That proxy must refuse lookups within seconds, the stale
  // host must respond to operators that it is not the leader, and its return
  // after ten minutes must not restore the old manifest.
  Operators Ops;
  const std::string Old = Ops.leaderName();
  Ops.isolate("entry-1", Old);
  Ops.isolate(Old, "entry-1");
  Ops.Cluster.Net.heal("entry-1", "caller");
  // The stale host still acts as leader.
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
  // The leader is partitioned with a proxy and still acts as leader for a
  // while. If it granted leases during that time, the proxy would serve lookups
  // after the manifest without lookups has been reported as in force.
  const auto Seed = GENERATE(range(1, 21));
  Operators Ops(static_cast<std::uint64_t>(Seed));
  const std::string Old = Ops.leaderName();
  Ops.isolate("entry-1", Old);
  Ops.isolate(Old, "entry-1");
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
  // A proxy starts and reaches only a control host that was partitioned before
  // the operators forbade lookups. It must receive no lease and no manifest
  // from that host; once it reaches the others it must start with the latest
  // manifest.
  Operators Ops;
  const std::string Old = Ops.leaderName();
  Ops.isolate(Old, "entry-1");
  REQUIRE(Ops.waitFor([&] {
    return Ops.Cluster.leader() != nullptr && Ops.leaderName() != Old;
  }));
  REQUIRE(Ops.apply(withoutLookups(2)).Status == 200);
  Ops.Cluster.kill("entry-1");
  Ops.isolate("entry-1", Old);
  Ops.Cluster.startProxy("entry-1");
  Ops.Cluster.Loop.runFor(Millis(10000));
  CHECK_FALSE(Ops.Cluster.Proxies.at("entry-1")->isReady());
  CHECK(Ops.versionAt("entry-1") == 0);
  Ops.Cluster.Net.heal();
  REQUIRE(Ops.waitFor([&] { return Ops.isEverywhere(2); }));
}

TEST_CASE("All processes restart after 300 changes", "[manifest]") {
  // Hundreds of manifests are accepted while control hosts compact their
  // journals and restart; then all processes restart at once. All must return
  // to the latest manifest, and a retry of it must receive the original
  // response.
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
  // An operator removes a control host. The response follows once the change is
  // committed, and the audit trail contains it. A second change, of another
  // host, is refused with a conflict.
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
