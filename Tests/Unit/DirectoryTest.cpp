/// \file
/// What is believed of targets' heartbeats, and the small decisions of the
/// pools that rest on it.

#include "Directory/TargetDirectory.h"
#include "Logs/LogEvents.h"
#include "Logs/LogRateLimiter.h"
#include "Pipeline/FloorTable.h"
#include "Pipeline/PrimaryOutage.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

TargetRecord said(const std::string &Id, std::uint64_t Sequence,
                  bool IsPrimary = false, std::uint16_t Port = 1) {
  TargetRecord Out;
  Out.Id = Id;
  Out.Group = "ledger";
  Out.Address = {"10.0.0.1", Port};
  Out.Sequence = Sequence;
  Out.IsPrimary = IsPrimary;
  return Out;
}

} // namespace

TEST_CASE("A late heartbeat of a dead life changes nothing", "[directory]") {
  // A target dies behind a partition and another life registers at its
  // address. The dead one's heartbeat arrives only then; callers sent by it
  // would reach a server that isn't the one they mean.
  TargetDirectory Known;
  CHECK(Known.applyHeartbeat(said("old", 5), Millis(0)));
  CHECK(Known.applyHeartbeat(said("new", 1), Millis(10)));
  CHECK_FALSE(Known.applyHeartbeat(said("old", 6), Millis(20)));
  REQUIRE(Known.ofGroup("ledger").size() == 1);
  CHECK(Known.ofGroup("ledger")[0].Id == "new");
}

TEST_CASE("An older sequence is ignored", "[directory]") {
  TargetDirectory Known;
  Known.applyHeartbeat(said("a", 5, true), Millis(0));
  CHECK_FALSE(Known.applyHeartbeat(said("a", 4, false), Millis(10)));
  CHECK(Known.primaryOf("ledger")->Id == "a");
}

TEST_CASE("The last to become primary is believed", "[directory]") {
  TargetDirectory Known;
  Known.applyHeartbeat(said("a", 1, true, 1), Millis(0));
  Known.applyHeartbeat(said("b", 1, false, 2), Millis(0));
  Known.applyHeartbeat(said("b", 2, true, 2), Millis(10));
  CHECK(Known.primaryOf("ledger")->Id == "b");
}

TEST_CASE("A new leader's primary goes before one of an earlier count",
          "[directory]") {
  // All control hosts were down and the new leader has no records. A proxy
  // remembers a primary that died meanwhile; its successor must not tie with
  // it, or callers would be sent to the dead one for good.
  TargetDirectory Proxy;
  TargetDirectory First;
  First.beginTerm(1);
  First.applyHeartbeat(said("dead", 1, true, 1), Millis(0));
  First.applyHeartbeat(said("dead", 2, false, 1), Millis(1));
  First.applyHeartbeat(said("dead", 3, true, 1), Millis(2));
  Proxy.merge(First.all(), Millis(3));
  TargetDirectory Second;
  Second.beginTerm(2);
  Second.applyHeartbeat(said("next", 1, true, 2), Millis(10));
  Proxy.merge(Second.all(), Millis(11));
  CHECK(Proxy.primaryOf("ledger")->Id == "next");
}

TEST_CASE("A target that starts again under its id is a new one",
          "[directory]") {
  // A target leaves and says goodbye, and another one starts under the same
  // id, with its count of heartbeats from one again. Taken for late word of
  // the former life it would never be used.
  TargetDirectory Known;
  TargetRecord First = said("a", 50, true);
  First.Incarnation = 1000;
  First.IsLeaving = true;
  Known.applyHeartbeat(First, Millis(0));
  Known.deregister("a", 1000, Millis(10));
  TargetRecord Second = said("a", 1);
  Second.Incarnation = 2000;
  CHECK(Known.applyHeartbeat(Second, Millis(20)));
  CHECK_FALSE(Known.find("a")->IsGone);
  CHECK_FALSE(Known.find("a")->IsLeaving);
  CHECK_FALSE(Known.find("a")->IsPrimary);
  CHECK(Known.find("a")->Sequence == 1);
  // Late word of the former life changes nothing, whatever its count is.
  First.Sequence = 51;
  CHECK_FALSE(Known.applyHeartbeat(First, Millis(30)));
  CHECK_FALSE(Known.deregister("a", 1000, Millis(40)));
  CHECK_FALSE(Known.find("a")->IsGone);
  CHECK(Known.deregister("a", 2000, Millis(50)));
}

TEST_CASE("Word of two lives arrives at proxies in any order", "[directory]") {
  // A proxy is told of the later life by one control host, and of the earlier
  // one by another that was cut off meanwhile.
  TargetRecord Old = said("a", 90, true);
  Old.Incarnation = 1000;
  Old.IsGone = true;
  Old.PrimaryEpoch = 7;
  TargetRecord New = said("a", 2);
  New.Incarnation = 2000;
  TargetDirectory NewFirst;
  NewFirst.merge({New}, Millis(0));
  NewFirst.merge({Old}, Millis(1));
  CHECK(*NewFirst.find("a") == New);
  TargetDirectory OldFirst;
  OldFirst.merge({Old}, Millis(0));
  OldFirst.merge({New}, Millis(1));
  CHECK(*OldFirst.find("a") == New);
}

TEST_CASE("The first word of an earlier life takes no address away",
          "[directory]") {
  // A heartbeat that a partition held up is the first that this host hears of
  // its sender, which is dead; another target has its address by now.
  TargetDirectory Known;
  TargetRecord Present = said("present", 3);
  Present.Incarnation = 2000;
  Known.applyHeartbeat(Present, Millis(0));
  TargetRecord Dead = said("dead", 8);
  Dead.Incarnation = 1000;
  CHECK_FALSE(Known.applyHeartbeat(Dead, Millis(10)));
  CHECK_FALSE(Known.find("present")->IsGone);
  CHECK(Known.find("dead") == nullptr);
}

TEST_CASE("Leaving can't be taken back", "[directory]") {
  TargetDirectory Known;
  TargetRecord Leaving = said("a", 2);
  Leaving.IsLeaving = true;
  Known.applyHeartbeat(Leaving, Millis(0));
  Known.applyHeartbeat(said("a", 3), Millis(10));
  CHECK(Known.find("a")->IsLeaving);
}

TEST_CASE("Only news raises the directory's revision", "[directory]") {
  TargetDirectory Known;
  CHECK(Known.applyHeartbeat(said("a", 1), Millis(0)));
  const std::uint64_t Before = Known.revision();
  CHECK_FALSE(Known.applyHeartbeat(said("a", 2), Millis(10)));
  CHECK(Known.revision() == Before);
  CHECK(Known.lastUpdate("a") == Millis(10));
}

TEST_CASE("A goodbye outlasts late heartbeats, then is forgotten",
          "[directory]") {
  TargetDirectory Known;
  Known.applyHeartbeat(said("a", 1), Millis(0));
  CHECK(Known.deregister("a", 0, Millis(10)));
  CHECK_FALSE(Known.applyHeartbeat(said("a", 2), Millis(20)));
  Known.purgeGone(Millis(20) + TargetDirectory::GoneRetention);
  CHECK(Known.find("a") == nullptr);
}

TEST_CASE("A floor counts from when its proof was sent", "[floor]") {
  FloorTable Floors;
  Floors.record("ledger", {1, 10}, Millis(1000), Millis(1000));
  Floors.record("ledger", {1, 20}, Millis(2000), Millis(2000));
  CHECK(Floors.floor("ledger", Millis(2400), Millis(1500)) ==
        LogPosition{1, 10});
  CHECK(Floors.floor("ledger", Millis(2500), Millis(1500)) ==
        LogPosition{1, 20});
  CHECK_FALSE(Floors.floor("ledger", Millis(3500), Millis(1500)));
  CHECK_FALSE(Floors.floor("other", Millis(2000), Millis(1500)));
}

TEST_CASE("A leader's log never shrinks within its term", "[floor]") {
  // Position 20 had been shown when a question went out whose answer shows 3:
  // its target has lost its log. An answer that was overtaken is no sign.
  FloorTable Floors;
  Floors.record("ledger", {1, 20}, Millis(1000), Millis(1010));
  CHECK(Floors.isRegression("ledger", {1, 3}, Millis(1011)));
  CHECK_FALSE(Floors.isRegression("ledger", {1, 3}, Millis(1005)));
  CHECK_FALSE(Floors.isRegression("ledger", {1, 20}, Millis(1011)));
  CHECK_FALSE(Floors.isRegression("ledger", {2, 3}, Millis(1011)));
  CHECK_FALSE(Floors.isRegression("other", {1, 3}, Millis(1011)));
}

TEST_CASE("A newer term ends the floors of older ones", "[floor]") {
  FloorTable Floors;
  Floors.record("ledger", {1, 99}, Millis(1000), Millis(1000));
  Floors.record("ledger", {2, 50}, Millis(1100), Millis(1100));
  CHECK(Floors.floor("ledger", Millis(1200), Millis(1500)) ==
        LogPosition{2, 50});
  Floors.record("ledger", {1, 100}, Millis(1200), Millis(1200));
  CHECK(Floors.floor("ledger", Millis(1200), Millis(1500)) ==
        LogPosition{2, 50});
}

TEST_CASE("Waiting for a leader is worth it only where it helps", "[outage]") {
  // The primary is lost. Short blips are waited out; after them only those
  // wait whose time reaches past the usual end of such a gap.
  PrimaryOutage Outage;
  CHECK(Outage.isWorthWaiting(Millis(0), Millis(300)));
  Outage.recordNoPrimary(Millis(0));
  CHECK(Outage.isWorthWaiting(Millis(100), Millis(400)));
  CHECK_FALSE(Outage.isWorthWaiting(Millis(200), Millis(500)));
  CHECK(Outage.isWorthWaiting(Millis(1300), Millis(1620)));
  CHECK(Outage.retryAfter(Millis(500)) == Millis(1000));
  CHECK_FALSE(Outage.isWorthWaiting(Millis(1600), Millis(1920)));
  Outage.recordPrimary(Millis(700));
  Outage.recordNoPrimary(Millis(10000));
  // The last gap was shorter, so the next is expected to be.
  CHECK(Outage.retryAfter(Millis(10000)) == Millis(1100));
}

TEST_CASE("A log line takes any bytes", "[logs]") {
  // A caller names a database in bytes that aren't UTF-8. The line about its
  // refusal must not end the process.
  configureLogging(true, Severity::Info);
  CHECK_NOTHROW(logEvent(EventId::StatementRefused,
                         {{"database", std::string("\xff\xfe\x00", 3)}}));
  configureLogging(false, Severity::Error);
}

TEST_CASE("Lines beyond the budget are counted, not written", "[logs]") {
  LogRateLimiter Budget(2);
  CHECK(Budget.allow(Millis(0)));
  CHECK(Budget.allow(Millis(1)));
  CHECK_FALSE(Budget.allow(Millis(2)));
  CHECK_FALSE(Budget.allow(Millis(999)));
  CHECK(Budget.allow(Millis(1000)));
  CHECK(Budget.takeDroppedCount() == 2);
  CHECK(Budget.takeDroppedCount() == 0);
}
