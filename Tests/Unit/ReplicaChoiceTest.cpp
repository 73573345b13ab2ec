/// \file
/// Reads while replicas lag, at one proxy and at many that share connections.

#include "FakeRelay.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

using Kind = StatementKind;

LoadOptions followingReplicas() {
  LoadOptions Out;
  Out.ReplicaProgress = true;
  return Out;
}

/// Replicas that apply the log of the primary "a" with a delay.
class DelayedReplicas {
public:
  DelayedReplicas(FakeLoop &Loop, FakeGroup &Group,
                  std::map<std::string, Millis> Delays)
      : Loop(Loop), Group(Group), Delays(std::move(Delays)) {
    for (const auto &[Name, Delay] : this->Delays)
      Group.Servers[Name].IsReplicating = false;
    step();
  }

  std::set<std::string> HeldUp; ///< Apply nothing.

private:
  void step() {
    History.emplace_back(Loop.now(), Group.Servers["a"].Log);
    for (const auto &[Name, Delay] : Delays)
      for (const auto &[At, Position] : History)
        if (HeldUp.count(Name) == 0 && At + Delay <= Loop.now())
          Group.Servers[Name].Log = Position;
    while (History.size() > 2 && History[1].first + Millis(20000) < Loop.now())
      History.pop_front();
    Loop.at(Loop.now() + Millis(10), [this] { step(); });
  }

  FakeLoop &Loop;
  FakeGroup &Group;
  std::map<std::string, Millis> Delays;
  std::deque<std::pair<Millis, LogPosition>> History;
};

std::uint64_t laggingRefusals(FakeRelaySystem &System, std::size_t Proxies) {
  std::uint64_t Out = 0;
  for (std::size_t Each = 0; Each < Proxies; ++Each)
    Out += System.proxy(Each).Pipeline.counts().LaggingRefusals;
  return Out;
}

/// Callers that read at every proxy, and one that writes.
struct SharedLoad {
  explicit SharedLoad(std::size_t Proxies)
      : Setup(Proxies, 10, followingReplicas()),
        Writer(Setup.System.connect(0, "primary")) {
    for (std::size_t Each = 0; Each < Proxies; ++Each)
      Readers.push_back(Setup.System.connect(Each, "bounded"));
  }

  /// Runs for \p Span: a write every 20 ms, and a read of each proxy every
  /// 50 ms.
  void run(Millis Span) {
    const Millis Until = Setup.Loop.now() + Span;
    while (Setup.Loop.now() < Until) {
      if (Round % 2 == 0)
        Setup.System.send(Writer, Kind::Write, "w" + std::to_string(Round),
                          "STORE x 1");
      for (std::size_t Each = 0; Each < Readers.size(); ++Each)
        if ((Round + Each) % 5 == 0) {
          Setup.System.send(Readers[Each], Kind::Read,
                            "r" + std::to_string(Round) + "." +
                                std::to_string(Each),
                            "FETCH x");
          ++Reads;
        }
      ++Round;
      Setup.Loop.runFor(Millis(10));
    }
  }

  RelaySetup Setup;
  FakeRelaySystem::Session Writer;
  std::vector<FakeRelaySystem::Session> Readers;
  std::size_t Round = 0;
  std::size_t Reads = 0;
};

} // namespace

TEST_CASE("Few reads go in vain to a replica held up by one record",
          "[replicas][load]") {
  // A delayed record holds the log of the only replica up for 10 s while
  // another proxy writes and one proxy reads 100 times a second. Reads must
  // not be sent to it in vain, and must return to it within 200 ms after it has
  // caught up.
  FakeLoop Loop;
  FakeGroup Group(Loop, {"a", "b"});
  FakePipeline Proxy(Loop, Group, {.ReplicaProgress = true});
  Proxy.Pipeline.setProxyCount(1);
  DelayedReplicas Replicas(Loop, Group, {{"b", Millis(50)}});
  const auto Writer = Proxy.connect("primary");
  std::vector<FakePipeline::Session> Readers;
  Readers.reserve(4);
  for (int Each = 0; Each < 4; ++Each)
    Readers.push_back(Proxy.connect("bounded"));
  std::vector<std::pair<bool, Millis>> Shortages;
  Proxy.Pipeline.signalReplicasBehind().connect(
      [&](const std::string &, bool AreBehind) {
        Shortages.emplace_back(AreBehind, Loop.now());
      });
  std::size_t Round = 0;
  const auto Run = [&](Millis Span) {
    const Millis Until = Loop.now() + Span;
    for (; Loop.now() < Until; ++Round) {
      if (Round % 2 == 0)
        Proxy.send(Writer, Kind::Write, "w" + std::to_string(Round),
                   "STORE x 1");
      Proxy.send(Readers[Round % 4], Kind::Read, "r" + std::to_string(Round),
                 "FETCH x");
      Loop.runFor(Millis(10));
    }
  };
  Run(Millis(3000));
  const std::uint64_t AtReplica = Proxy.Pipeline.counts().ReadsByReplica;
  CHECK(AtReplica > 250);
  Replicas.HeldUp.insert("b");
  Run(Millis(10000));
  CHECK(Proxy.Pipeline.counts().LaggingRefusals <= 2);
  CHECK(Proxy.Pipeline.counts().ReadsLackingReplica > 800);
  const std::uint64_t BeforeEnd = Proxy.Pipeline.counts().ReadsByReplica;
  Replicas.HeldUp.clear();
  Run(Millis(200));
  CHECK(Proxy.Pipeline.counts().ReadsByReplica > BeforeEnd);
  REQUIRE(Shortages.size() == 2);
  CHECK(Shortages[0].first);
  CHECK_FALSE(Shortages[1].first);
  Loop.clear();
}

TEST_CASE("Under 1 % of reads are refused while all replicas lag",
          "[replicas][load]") {
  // Two replicas are 10 s behind and 20 proxies read through few gateways.
  // Guards against one refused read per proxy and replica, again and again.
  constexpr std::size_t Proxies = 20;
  SharedLoad Load(Proxies);
  DelayedReplicas Replicas(Load.Setup.Loop, Load.Setup.Group,
                           {{"b", Millis(10000)}, {"c", Millis(10000)}});
  Load.run(Millis(30000));
  const std::uint64_t Refused = laggingRefusals(Load.Setup.System, Proxies);
  CAPTURE(Refused, Load.Reads);
  CHECK(Load.Reads > 10000);
  CHECK(Refused * 100 < Load.Reads);
}

TEST_CASE("Proxies learn from others that replicas have caught up",
          "[replicas][load]") {
  // Both replicas are held up for 10 s. Only the gateways of the leader probe
  // them; all other proxies must learn the positions from the answers of these.
  constexpr std::size_t Proxies = 20;
  SharedLoad Load(Proxies);
  DelayedReplicas Replicas(Load.Setup.Loop, Load.Setup.Group,
                           {{"b", Millis(50)}, {"c", Millis(50)}});
  Load.run(Millis(3000));
  Replicas.HeldUp = {"b", "c"};
  const std::uint64_t RefusedBefore =
      laggingRefusals(Load.Setup.System, Proxies);
  const std::size_t ReadsBefore = Load.Reads;
  Load.run(Millis(10000));
  const std::uint64_t Refused =
      laggingRefusals(Load.Setup.System, Proxies) - RefusedBefore;
  CAPTURE(Refused, Load.Reads - ReadsBefore);
  CHECK(Refused * 100 < Load.Reads - ReadsBefore);
  std::vector<std::uint64_t> AtReplica;
  AtReplica.reserve(Proxies);
  for (std::size_t Each = 0; Each < Proxies; ++Each)
    AtReplica.push_back(
        Load.Setup.System.proxy(Each).Pipeline.counts().ReadsByReplica);
  Replicas.HeldUp.clear();
  // Until the gateways know, then a read of each proxy whose answer tells it,
  // and its next read.
  Load.run(Millis(350));
  std::size_t Returned = 0;
  for (std::size_t Each = 0; Each < Proxies; ++Each)
    if (Load.Setup.System.proxy(Each).Pipeline.counts().ReadsByReplica >
        AtReplica[Each])
      ++Returned;
  CHECK(Returned == Proxies);
}

TEST_CASE("Reads find their floor after a promotion", "[replicas]") {
  // Guards against positions of the earlier term that count for the floors of
  // the later one, and against reads that avoid the replicas from then on.
  FakeLoop Loop;
  FakeGroup Group(Loop, {"a", "b", "c"});
  FakePipeline Proxy(Loop, Group, {.ReplicaProgress = true});
  const auto Writer = Proxy.connect("primary");
  const auto Reader = Proxy.connect("own");
  for (int Each = 0; Each < 20; ++Each) {
    const std::string Number = std::to_string(Each);
    REQUIRE_FALSE(
        Proxy.ask(Writer, Kind::Write, "w" + Number, "STORE x 1").Refusal);
    REQUIRE_FALSE(
        Proxy.ask(Reader, Kind::Read, "r" + Number, "FETCH x").Refusal);
  }
  Group.Servers["c"].IsReplicating = false;
  Group.promote("b");
  Proxy.updateDirectory();
  REQUIRE_FALSE(Proxy.ask(Reader, Kind::Write, "v", "STORE x 2").Refusal);
  REQUIRE_FALSE(Proxy.ask(Reader, Kind::Read, "s", "FETCH x").Refusal);
  CHECK(Group.run("s")->At >= Group.Committed.at("v"));
  Loop.clear();
}

TEST_CASE("A replica that restarted without its log costs few reads",
          "[replicas]") {
  // The replica loses its log, first unnoticed, then with a later incarnation
  // in the directory. No read may miss its floor, and each change costs at most
  // one read in vain.
  FakeLoop Loop;
  FakeGroup Group(Loop, {"a", "b"});
  FakePipeline Proxy(Loop, Group, {.ReplicaProgress = true});
  const auto Writer = Proxy.connect("primary");
  const auto Reader = Proxy.connect("bounded");
  for (int Each = 0; Each < 100; ++Each) {
    const std::string Number = std::to_string(Each);
    REQUIRE_FALSE(
        Proxy.ask(Writer, Kind::Write, "w" + Number, "STORE x 1").Refusal);
    REQUIRE_FALSE(
        Proxy.ask(Reader, Kind::Read, "r" + Number, "FETCH x").Refusal);
    Loop.runFor(Millis(20));
  }
  CHECK(Proxy.Pipeline.counts().ReadsByReplica > 50);
  Group.Servers["b"].IsReplicating = false;
  Group.Servers["b"].Log = {1, 1};
  for (int Each = 0; Each < 50; ++Each) {
    if (Each == 25) {
      Group.Servers["b"].BornAt += 1000;
      Proxy.updateDirectory();
    }
    const std::string Id = "s" + std::to_string(Each);
    REQUIRE_FALSE(Proxy.ask(Reader, Kind::Read, Id, "FETCH x").Refusal);
    CHECK(Group.run(Id)->Target == "a");
    Loop.runFor(Millis(2));
  }
  CHECK(Proxy.Pipeline.counts().LaggingRefusals >= 1);
  CHECK(Proxy.Pipeline.counts().LaggingRefusals <= 2);
  Loop.clear();
}

TEST_CASE("A probe without an answer gives its connection back", "[replicas]") {
  // The replica stops answering while it is probed, and reads end. Guards
  // against connections that stay busy for ever.
  FakeLoop Loop;
  FakeGroup Group(Loop, {"a", "b"});
  FakePipeline Proxy(Loop, Group, {.ReplicaProgress = true});
  Proxy.Pipeline.setProxyCount(1);
  const auto Writer = Proxy.connect("primary");
  const auto Reader = Proxy.connect("bounded");
  Group.Servers["b"].IsReplicating = false;
  for (int Each = 0; Each < 100; ++Each) {
    const std::string Number = std::to_string(Each);
    if (Each == 97)
      Group.Servers["b"].IsUnresponsive = true;
    Proxy.ask(Writer, Kind::Write, "w" + Number, "STORE x 1");
    Proxy.ask(Reader, Kind::Read, "r" + Number, "FETCH x");
    Loop.runFor(Millis(20));
  }
  Loop.runFor(Millis(3000));
  for (const PoolReport &Each : Proxy.Pipeline.pools())
    CHECK(Each.Busy == 0);
  Loop.clear();
}
