/// \file
/// A group of targets with synchronous replicas that commits and is controlled
/// by control hosts on a simulated network.

#ifndef CORIANDERDYKE_TESTS_SUPPORT_SYNCFLEET_H
#define CORIANDERDYKE_TESTS_SUPPORT_SYNCFLEET_H

#include "FakeFleet.h"

#include <random>

namespace corianderdyke {

/// A group whose primary acknowledges a commit once \p SyncReplicas other
/// targets hold it. "a" leads at first.
struct SyncFleet {
  explicit SyncFleet(std::uint32_t SyncReplicas, std::uint64_t Seed = 1,
                     std::size_t Count = 3)
      : SyncReplicas(SyncReplicas), Random(Seed), Fleet(Seed) {
    for (const char *Id : {"d", "e"})
      if (Fleet.Targets.Targets.size() < Count)
        target(Id).IsPrimary = false;
    Fleet.Targets.PromotionTime = Millis(1000);
    Fleet.Targets.OnPromoted = [this](const std::string &Id) { promote(Id); };
    REQUIRE(Fleet.awaitLeader());
    REQUIRE(Fleet.acceptPlan(1, SyncReplicas));
    // The group settles: the leader has met the primary for the first time.
    Fleet.runWithHeartbeats(Millis(2000));
    REQUIRE(Fleet.allProxiesHave(1));
  }

  FakeTargets::Target &target(const std::string &Id) {
    return Fleet.Targets.Targets[Id];
  }

  void crash(const std::string &Id) { target(Id).IsUp = false; }

  /// Starts a crashed target with its log.
  void restart(const std::string &Id) {
    target(Id).IsUp = true;
    target(Id).IsReplicating = true;
  }

  /// Replaces a crashed replica by an empty one at its address, unless it alone
  /// holds the acknowledged commits, or as many were replaced before as may be
  /// without losing one.
  void replace(const std::string &Id) {
    const FakeTargets::Target Old = target(Id);
    std::size_t Holders = 0;
    for (const std::string &Other : present())
      Holders += Other != Id && target(Other).Received >= Acknowledged ? 1 : 0;
    if (Old.IsUp || Old.IsPrimary || Holders == 0 ||
        (SyncReplicas > 0 && Replaced.size() >= SyncReplicas))
      return;
    FakeTargets::Target New;
    New.Host = Old.Host.empty() ? Id : Old.Host;
    New.Received = {1, 0};
    New.BornAt = Old.BornAt + 1000;
    Replaced.insert(Id);
    target(New.Host + std::to_string(New.BornAt)) = New;
  }

  /// The primary "a" crashes, and "c", the only replica with the last commits,
  /// is replaced.
  void replaceHolder() {
    Deaf = {"b"};
    run(Millis(1000));
    crash("a");
    crash("c");
    replace("c");
  }

  /// Checks that no target was promoted meanwhile and that "a" leads on.
  void checkPrimaryReturns() {
    CHECK(Fleet.Targets.Orders.empty());
    restart("a");
    Deaf.clear();
    run(Millis(3000));
    CHECK(primary() == "a");
  }

  std::vector<std::string> present() const {
    std::vector<std::string> Out;
    for (const auto &[Id, Each] : Fleet.Targets.Targets)
      if (Replaced.count(Id) == 0)
        Out.push_back(Id);
    return Out;
  }

  std::string primary() {
    for (const auto &[Id, Each] : Fleet.Targets.Targets)
      if (Each.IsUp && Each.IsPrimary)
        return Id;
    return "";
  }

  /// Returns true if the commit is acknowledged. A replica receives it with the
  /// probability \p Percent.
  bool commit(unsigned Percent = 100) {
    const std::string Lead = primary();
    if (Lead.empty())
      return false;
    target(Lead).Received = {Term, target(Lead).Received.Number + 1};
    std::uint32_t Copies = 0;
    for (auto &[Id, Each] : Fleet.Targets.Targets) {
      if (Id == Lead || !Each.IsUp || !Each.IsReplicating ||
          Deaf.count(Id) != 0 || Random() % 100 >= Percent)
        continue;
      Each.Received = target(Lead).Received;
      ++Copies;
    }
    if (Copies < SyncReplicas)
      return false;
    Acknowledged = target(Lead).Received;
    return true;
  }

  /// Passes time with commits; proxies report a primary that is down.
  void run(Millis Span, unsigned Percent = 100) {
    for (Millis Left = Span; Left > Millis(0); Left = Left - Millis(100)) {
      commit(Percent);
      for (const auto &[Id, Each] : Fleet.Targets.Targets)
        if (Each.IsPrimary && !Each.IsUp)
          Fleet.reportFailure(Id, 3);
        else if (Each.IsPrimary)
          for (auto &[Name, Proxy] : Fleet.Proxies)
            Proxy.Feed->recordReachable(Id);
      if (Left.count() % 200 == 0)
        Fleet.sendHeartbeats();
      Fleet.Loop.runFor(Millis(100));
    }
  }

  std::size_t ordersTo(const std::string &Id) const {
    return static_cast<std::size_t>(std::count_if(
        Fleet.Targets.Orders.begin(), Fleet.Targets.Orders.end(),
        [&Id](const FakeTargets::Order &Each) { return Each.Target == Id; }));
  }

  std::size_t awaited() {
    return Fleet.leader()->promotionCoordinator().awaitedTargets().at("ledger");
  }

  std::uint32_t SyncReplicas;
  std::mt19937_64 Random;
  FakeFleet Fleet;
  std::set<std::string> Deaf;     ///< Replicas that receive nothing.
  std::set<std::string> Replaced; ///< Targets that are lost for good.
  std::uint64_t Term = 1;
  LogPosition Acknowledged;
  std::vector<std::string> Lost; ///< Promotions that lost commits.

private:
  void promote(const std::string &Id) {
    const LogPosition Last = target(Id).Received;
    if (Last < Acknowledged)
      Lost.push_back(Id + " lacks " +
                     std::to_string(Acknowledged.Number - Last.Number));
    ++Term;
    Acknowledged = std::min(Acknowledged, Last);
    for (auto &[Other, Each] : Fleet.Targets.Targets) {
      Each.Received = std::min(Each.Received, Last);
      Each.IsReplicating = true;
    }
  }
};

} // namespace corianderdyke

#endif
