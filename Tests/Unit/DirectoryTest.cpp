/// \file
/// Which heartbeats of targets the directory applies, and the floors, waits and
/// log limits that the proxies derive or use next to it.

#include "Directory/TargetDirectory.h"
#include "Logs/LogEvents.h"
#include "Logs/LogRateLimiter.h"
#include "Pipeline/FloorTable.h"
#include "Pipeline/PrimaryOutage.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

TargetRecord heartbeat(const std::string &Id, std::uint64_t Sequence,
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

TEST_CASE("A late heartbeat of a replaced target is ignored", "[directory]") {
  // A target fails behind a partition, and another target registers at its
  // address. A delayed heartbeat of the first arrives afterwards. If it were
  // applied, callers would reach the wrong server.
  TargetDirectory Directory;
  CHECK(Directory.applyHeartbeat(heartbeat("old", 5), Millis(0)));
  CHECK(Directory.applyHeartbeat(heartbeat("new", 1), Millis(10)));
  CHECK_FALSE(Directory.applyHeartbeat(heartbeat("old", 6), Millis(20)));
  REQUIRE(Directory.ofGroup("ledger").size() == 1);
  CHECK(Directory.ofGroup("ledger")[0].Id == "new");
}

TEST_CASE("An older sequence is ignored", "[directory]") {
  TargetDirectory Directory;
  Directory.applyHeartbeat(heartbeat("a", 5, true), Millis(0));
  CHECK_FALSE(Directory.applyHeartbeat(heartbeat("a", 4, false), Millis(10)));
  CHECK(Directory.primaryOf("ledger")->Id == "a");
}

TEST_CASE("The target that became primary last is the primary", "[directory]") {
  TargetDirectory Directory;
  Directory.applyHeartbeat(heartbeat("a", 1, true, 1), Millis(0));
  Directory.applyHeartbeat(heartbeat("b", 1, false, 2), Millis(0));
  Directory.applyHeartbeat(heartbeat("b", 2, true, 2), Millis(10));
  CHECK(Directory.primaryOf("ledger")->Id == "b");
}

TEST_CASE("A primary recorded in a newer term takes precedence",
          "[directory]") {
  // All control hosts were down, and the new leader has no records. A proxy has
  // a record of a primary that failed meanwhile. Its successor must rank
  // higher, or callers would be sent to the failed primary permanently.
  TargetDirectory Proxy;
  TargetDirectory First;
  First.beginTerm(1);
  First.applyHeartbeat(heartbeat("dead", 1, true, 1), Millis(0));
  First.applyHeartbeat(heartbeat("dead", 2, false, 1), Millis(1));
  First.applyHeartbeat(heartbeat("dead", 3, true, 1), Millis(2));
  Proxy.merge(First.all(), Millis(3));
  TargetDirectory Second;
  Second.beginTerm(2);
  Second.applyHeartbeat(heartbeat("next", 1, true, 2), Millis(10));
  Proxy.merge(Second.all(), Millis(11));
  CHECK(Proxy.primaryOf("ledger")->Id == "next");
}

TEST_CASE("A target that restarts under its id is a new incarnation",
          "[directory]") {
  // A target leaves and deregisters, and another one starts under the same id
  // with heartbeat sequences from 1. If its heartbeats were taken for late ones
  // of the former incarnation, it would never be used.
  TargetDirectory Directory;
  TargetRecord First = heartbeat("a", 50, true);
  First.Incarnation = 1000;
  First.IsLeaving = true;
  Directory.applyHeartbeat(First, Millis(0));
  Directory.deregister("a", 1000, Millis(10));
  TargetRecord Second = heartbeat("a", 1);
  Second.Incarnation = 2000;
  CHECK(Directory.applyHeartbeat(Second, Millis(20)));
  CHECK_FALSE(Directory.find("a")->IsGone);
  CHECK_FALSE(Directory.find("a")->IsLeaving);
  CHECK_FALSE(Directory.find("a")->IsPrimary);
  CHECK(Directory.find("a")->Sequence == 1);
  // Late messages of the former incarnation are ignored at any sequence.
  First.Sequence = 51;
  CHECK_FALSE(Directory.applyHeartbeat(First, Millis(30)));
  CHECK_FALSE(Directory.deregister("a", 1000, Millis(40)));
  CHECK_FALSE(Directory.find("a")->IsGone);
  CHECK(Directory.deregister("a", 2000, Millis(50)));
}

TEST_CASE("Records of two incarnations may arrive at proxies in any order",
          "[directory]") {
  // A proxy receives the later incarnation from one control host, and the
  // earlier one from another that was partitioned meanwhile.
  TargetRecord Old = heartbeat("a", 90, true);
  Old.Incarnation = 1000;
  Old.IsGone = true;
  Old.PrimaryEpoch = 7;
  TargetRecord New = heartbeat("a", 2);
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

TEST_CASE(
    "A late heartbeat of an unknown target does not replace another target",
    "[directory]") {
  // A heartbeat delayed by a partition is the first one that this host receives
  // from a target that has failed. Another target has its address by now.
  TargetDirectory Directory;
  TargetRecord Present = heartbeat("present", 3);
  Present.Incarnation = 2000;
  Directory.applyHeartbeat(Present, Millis(0));
  TargetRecord Failed = heartbeat("dead", 8);
  Failed.Incarnation = 1000;
  CHECK_FALSE(Directory.applyHeartbeat(Failed, Millis(10)));
  CHECK_FALSE(Directory.find("present")->IsGone);
  CHECK(Directory.find("dead") == nullptr);
}

TEST_CASE("A leaving target cannot become available again", "[directory]") {
  TargetDirectory Directory;
  TargetRecord Leaving = heartbeat("a", 2);
  Leaving.IsLeaving = true;
  Directory.applyHeartbeat(Leaving, Millis(0));
  Directory.applyHeartbeat(heartbeat("a", 3), Millis(10));
  CHECK(Directory.find("a")->IsLeaving);
}

TEST_CASE("Only changes increment the revision of the directory",
          "[directory]") {
  TargetDirectory Directory;
  CHECK(Directory.applyHeartbeat(heartbeat("a", 1), Millis(0)));
  const std::uint64_t Before = Directory.revision();
  CHECK_FALSE(Directory.applyHeartbeat(heartbeat("a", 2), Millis(10)));
  CHECK(Directory.revision() == Before);
  CHECK(Directory.lastUpdate("a") == Millis(10));
}

TEST_CASE("A deregistration overrides late heartbeats until it is purged",
          "[directory]") {
  TargetDirectory Directory;
  Directory.applyHeartbeat(heartbeat("a", 1), Millis(0));
  CHECK(Directory.deregister("a", 0, Millis(10)));
  CHECK_FALSE(Directory.applyHeartbeat(heartbeat("a", 2), Millis(20)));
  Directory.purgeGone(Millis(20) + TargetDirectory::GoneRetention);
  CHECK(Directory.find("a") == nullptr);
}

TEST_CASE("The age of a floor counts from when its request was sent",
          "[floor]") {
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

TEST_CASE("The log of a primary never shrinks within a term", "[floor]") {
  // Position 20 is known when a request is sent whose answer has position 3, so
  // its target has lost its log. An answer to an earlier request proves
  // nothing.
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

TEST_CASE("Waiting for a primary is limited to cases where it can succeed",
          "[outage]") {
  // The primary is lost. Statements wait during a short interruption. After
  // that, only statements wait whose deadline is after the expected end.
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
  // The last outage was shorter, so the next one is expected to be shorter.
  CHECK(Outage.retryAfter(Millis(10000)) == Millis(1100));
}

TEST_CASE("A log line accepts any bytes", "[logs]") {
  // A caller sends a database name that is not valid UTF-8. Logging its refusal
  // must not end the process.
  configureLogging(true, Severity::Info);
  CHECK_NOTHROW(logEvent(EventId::StatementRefused,
                         {{"database", std::string("\xff\xfe\x00", 3)}}));
  configureLogging(false, Severity::Error);
}

TEST_CASE("Log lines above the rate limit are counted, not written", "[logs]") {
  LogRateLimiter Limiter(2);
  CHECK(Limiter.allow(Millis(0)));
  CHECK(Limiter.allow(Millis(1)));
  CHECK_FALSE(Limiter.allow(Millis(2)));
  CHECK_FALSE(Limiter.allow(Millis(999)));
  CHECK(Limiter.allow(Millis(1000)));
  CHECK(Limiter.takeDroppedCount() == 2);
  CHECK(Limiter.takeDroppedCount() == 0);
}
