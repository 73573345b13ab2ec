/// \file
/// What is concluded from the observed positions of a replica's log.

#include "Replicas/ReplicaTable.h"

#include <catch2/catch.hpp>
#include <limits>

using namespace corianderdyke;

namespace {

using Readiness = ReplicaReadiness;

/// Answers of a replica that applies \p PerSecond records, observed every
/// \p Step from \p From until \p Until; returns the last position.
LogPosition observe(ReplicaProgress &Progress, LogPosition First, Millis From,
                    Millis Until, Millis Step, std::int64_t PerSecond) {
  LogPosition Last = First;
  for (Millis Now = From; Now <= Until; Now = Now + Step) {
    Last.Number = First.Number + static_cast<std::uint64_t>(
                                     (Now - From).count() * PerSecond / 1000);
    Progress.recordAnswer(Last, Now - Millis(2), Now);
  }
  return Last;
}

TargetRecord recordOf(const std::string &Id, std::uint64_t Incarnation) {
  TargetRecord Out;
  Out.Id = Id;
  Out.Group = std::string("g");
  Out.Incarnation = Incarnation;
  return Out;
}

} // namespace

TEST_CASE("A replica's log holds a floor for as long as it is kept",
          "[replicas]") {
  // Guards against reads that go to the leader because the position of a
  // replica was observed long ago.
  ReplicaProgress Progress;
  CHECK_FALSE(Progress.holdsNow({1, 1}));
  Progress.recordAnswer({1, 5}, Millis(0), Millis(2));
  CHECK(Progress.holdsNow({1, 5}));
  CHECK_FALSE(Progress.holdsNow({1, 6}));
  CHECK_FALSE(Progress.holdsNow({2, 1}));
  CHECK(Progress.readiness({1, 5}, Millis(90000), Millis(90000)) ==
        Readiness::Ready);
}

TEST_CASE("A lagging replica is expected to hold a floor by its rate",
          "[replicas]") {
  // A replica applies 100 records a second and is 10 s behind. Guards against
  // reads in vain long before it has caught up, and against reads that wait
  // long after.
  ReplicaProgress Progress;
  const LogPosition Last =
      observe(Progress, {1, 100}, Millis(0), Millis(1000), Millis(50), 100);
  REQUIRE(Progress.rate(Millis(1000)));
  CHECK(*Progress.rate(Millis(1000)) == Approx(100).epsilon(0.05));
  const Millis Now(1000);
  const LogPosition Far{1, Last.Number + 1000};
  const auto Expected = Progress.expectedAt(Far, Now);
  REQUIRE(Expected);
  CHECK(*Expected >= Now + Millis(10000));
  CHECK(*Expected <= Now + Millis(15000));
  CHECK(Progress.readiness(Far, Now + Millis(50), Now) == Readiness::Behind);
  // No trials of a replica that is known to be far behind.
  CHECK(Progress.readiness(Far, Now + Millis(950), Now + Millis(900)) ==
        Readiness::Behind);
  const LogPosition Near{1, Last.Number + 3};
  CHECK(Progress.readiness(Near, Now + Millis(50), Now) == Readiness::Ready);
  // A rate measured long ago predicts nothing.
  CHECK_FALSE(Progress.rate(Now + Millis(5000)));
  CHECK(Progress.readiness(Far, Now + Millis(5000), Now + Millis(5000)) ==
        Readiness::MayTry);
}

TEST_CASE("A backlog that is applied at once is not the rate of a replica",
          "[replicas]") {
  // One delayed record holds the log up for 2 s; then 500 records are applied
  // at once. Guards against reads in vain because the replica is believed to go
  // on at that rate.
  ReplicaProgress Progress;
  observe(Progress, {1, 100}, Millis(0), Millis(1000), Millis(50), 50);
  for (Millis Now(1050); Now <= Millis(3000); Now = Now + Millis(50))
    Progress.recordAnswer({1, 150}, Now - Millis(2), Now);
  CHECK(Progress.rate(Millis(3000)).value_or(0) == 0);
  for (Millis Now(3050); Now <= Millis(3600); Now = Now + Millis(50)) {
    const auto Applied =
        static_cast<std::uint64_t>((Now - Millis(3050)).count() / 20);
    const LogPosition Last{1, 650 + Applied};
    Progress.recordAnswer(Last, Now - Millis(2), Now);
    CAPTURE(Now.count());
    CHECK(Progress.readiness({1, Last.Number + 20}, Now + Millis(50), Now) !=
          Readiness::Ready);
  }
  REQUIRE(Progress.rate(Millis(3600)));
  CHECK(*Progress.rate(Millis(3600)) <= 60);
}

TEST_CASE("A later term discards the rate of a replica", "[replicas]") {
  // Guards against predictions after a promotion from the rate before it.
  ReplicaProgress Progress;
  const LogPosition Last =
      observe(Progress, {1, 100}, Millis(0), Millis(1000), Millis(50), 100);
  REQUIRE(Progress.rate(Millis(1000)));
  CHECK_FALSE(Progress.expectedAt({2, Last.Number + 1}, Millis(1000)));
  Progress.recordAnswer({2, Last.Number + 1}, Millis(1010), Millis(1012));
  CHECK_FALSE(Progress.rate(Millis(1012)));
  CHECK(Progress.holdsNow({1, Last.Number + 50}));
  CHECK_FALSE(Progress.holdsNow({2, Last.Number + 2}));
}

TEST_CASE("A rolled back log tail discards the position of a replica",
          "[replicas]") {
  // Guards against reads that are sent to a replica for ever because its log
  // once held their floor.
  ReplicaProgress Progress;
  observe(Progress, {1, 100}, Millis(0), Millis(1000), Millis(50), 100);
  // An answer to an earlier command that arrives late is no rollback.
  Progress.recordAnswer({1, 190}, Millis(995), Millis(1003));
  CHECK(Progress.holdsNow({1, 200}));
  REQUIRE(Progress.rate(Millis(1003)));
  Progress.recordAnswer({1, 150}, Millis(1004), Millis(1008));
  CHECK_FALSE(Progress.holdsNow({1, 151}));
  CHECK(Progress.holdsNow({1, 150}));
  CHECK_FALSE(Progress.rate(Millis(1008)));
  // A report of what was observed before the rollback changes nothing.
  Progress.recordReport({1, 200}, Millis(5), Millis(1010));
  CHECK_FALSE(Progress.holdsNow({1, 151}));
  Progress.recordReport({1, 160}, Millis(1), Millis(1010));
  CHECK(Progress.holdsNow({1, 160}));
}

TEST_CASE("A smaller position in a report discards nothing", "[replicas]") {
  // Reports of several gateways arrive out of order. Guards against records
  // that are discarded each time.
  ReplicaProgress Progress;
  Progress.recordAnswer({1, 100}, Millis(0), Millis(2));
  Progress.recordReport({1, 90}, Millis(0), Millis(10));
  CHECK(Progress.holdsNow({1, 100}));
  CHECK(Progress.latest()->At == Millis(2));
  Progress.recordReport({1, 120}, Millis(-5), Millis(10));
  CHECK_FALSE(Progress.holdsNow({1, 101}));
}

TEST_CASE("A stale report misdirects reads only until one is answered",
          "[replicas]") {
  // A gateway reports a position that the replica has lost since. Guards
  // against reads in vain with each of its reports.
  ReplicaProgress Progress;
  Progress.recordReport({1, 200}, Millis(900), Millis(1000));
  REQUIRE(Progress.holdsNow({1, 150}));
  Progress.recordAnswer({1, 100}, Millis(1001), Millis(1005));
  CHECK_FALSE(Progress.holdsNow({1, 150}));
  Progress.recordReport({1, 200}, Millis(950), Millis(1050));
  CHECK_FALSE(Progress.holdsNow({1, 150}));
  // An age that cannot be subtracted from a time.
  Progress.recordReport(
      {1, 200}, Millis(std::numeric_limits<std::int64_t>::min()), Millis(1050));
  CHECK_FALSE(Progress.holdsNow({1, 150}));
}

TEST_CASE("Trials of a replica that receives nothing become rare",
          "[replicas]") {
  // Guards against reads that are all sent in vain to a replica that never
  // catches up, and against one that is never tried again.
  ReplicaProgress Progress;
  const LogPosition Floor{1, 10};
  std::vector<Millis> Trials;
  Millis Longest;
  for (Millis Now(0); Now < Millis(12000); Now = Now + Millis(10)) {
    if (Progress.readiness(Floor, Now, Now) != Readiness::MayTry)
      continue;
    if (!Trials.empty())
      Longest = std::max(Longest, Now - Trials.back());
    Trials.push_back(Now);
    Progress.beginTrial(Now);
    // One read at a time.
    CHECK_FALSE(Progress.mayTry(Now + Millis(5)));
    Progress.recordAnswer({1, 5}, Now, Now + Millis(5));
  }
  CHECK(Trials.size() <= 12);
  CHECK(Longest > Millis(1500));
  CHECK(Longest <= Millis(1620));
  // The first record that it applies shortens the pause again.
  Progress.recordAnswer({1, 6}, Millis(12000), Millis(12005));
  CHECK_FALSE(Progress.mayTry(Millis(12195)));
  CHECK(Progress.mayTry(Millis(12205)));
}

TEST_CASE("A lost trial does not end the trials", "[replicas]") {
  // Guards against a replica that is never tried again because the connection
  // of a trial was lost.
  ReplicaProgress Progress;
  REQUIRE(Progress.mayTry(Millis(0)));
  Progress.beginTrial(Millis(0));
  CHECK_FALSE(Progress.mayTry(Millis(1500)));
  CHECK(Progress.mayTry(Millis(1600)));
  // A refusal for another reason ends it without a position.
  Progress.beginTrial(Millis(2000));
  Progress.endTrial();
  CHECK_FALSE(Progress.mayTry(Millis(2100)));
  CHECK(Progress.mayTry(Millis(2200)));
}

TEST_CASE("A refusal without a position corrects a false record",
          "[replicas]") {
  // Guards against a false report that misdirects reads until its position is
  // reached.
  ReplicaProgress Progress;
  Progress.recordReport({1, 1000}, Millis(1), Millis(10));
  REQUIRE(Progress.holdsNow({1, 500}));
  Progress.recordLagging({1, 500}, Millis(20));
  CHECK_FALSE(Progress.holdsNow({1, 500}));
  CHECK_FALSE(Progress.mayTry(Millis(100)));
  CHECK(Progress.mayTry(Millis(220)));
}

TEST_CASE("A restart under the same id discards the record of a replica",
          "[replicas]") {
  // Guards against reads that are sent to a target that restarted without its
  // log because its earlier incarnation held their floor.
  ReplicaTable Table;
  Table.update(recordOf("b", 1000), Millis(0));
  Table.recordAnswer("g", "b", {1, 100}, Millis(0), Millis(5));
  REQUIRE(Table.find("g", "b"));
  CHECK(Table.find("g", "b")->holdsNow({1, 100}));
  Table.update(recordOf("b", 1000), Millis(10));
  CHECK(Table.find("g", "b")->holdsNow({1, 100}));
  Table.update(recordOf("b", 2000), Millis(20));
  CHECK_FALSE(Table.find("g", "b")->latest());
  // A report about the earlier incarnation.
  Table.recordReport("g", {"b", {1, 100}, Millis(15)}, Millis(30));
  CHECK_FALSE(Table.find("g", "b")->latest());
}

TEST_CASE("Reports about unknown targets and old reports are ignored",
          "[replicas]") {
  // Guards against a table that grows with each name that another process
  // sends, and against reports that were delayed.
  ReplicaTable Table;
  Table.update(recordOf("b", 1000), Millis(0));
  Table.recordReport("g", {"x", {1, 100}, Millis(1)}, Millis(10));
  CHECK(Table.find("g", "x") == nullptr);
  Table.recordReport("h", {"b", {1, 100}, Millis(1)}, Millis(10));
  CHECK(Table.find("h", "b") == nullptr);
  CHECK_FALSE(Table.find("g", "b")->latest());
  Table.recordReport("g", {"b", {1, 100}, Millis(1001)}, Millis(2000));
  CHECK_FALSE(Table.find("g", "b")->latest());
  TargetRecord Gone = recordOf("b", 1000);
  Gone.IsGone = true;
  Table.update(Gone, Millis(2000));
  CHECK(Table.find("g", "b") == nullptr);
}

TEST_CASE("Each process is sent at most one report per target in 50 ms",
          "[replicas]") {
  // Guards against reports that fill a link of 2 Mbit/s, and against a target
  // that is never reported because another one always is.
  ReplicaTable Table;
  Table.update(recordOf("b", 1000), Millis(0));
  Table.update(recordOf("c", 1000), Millis(0));
  ReplicaTable::SentReports Sent;
  std::map<std::string, int> Reports;
  for (Millis Now(0); Now < Millis(1000); Now = Now + Millis(1)) {
    Table.recordAnswer("g", "b", {1, static_cast<std::uint64_t>(Now.count())},
                       Now, Now);
    Table.recordAnswer("g", "c", {1, 1}, Now, Now);
    if (const auto Report = Table.nextReport("g", "", Sent, Now))
      ++Reports[Report->Target];
  }
  CHECK(Reports["b"] == 20);
  CHECK(Reports["c"] == 20);
  // Nothing new was observed.
  CHECK(Table.nextReport("g", "", Sent, Millis(1060)));
  CHECK(Table.nextReport("g", "", Sent, Millis(1060)));
  CHECK_FALSE(Table.nextReport("g", "", Sent, Millis(1200)));
}

TEST_CASE("A process passes on only what it observed itself", "[replicas]") {
  // Guards against a report that two processes send each other for ever: each
  // passing dates it later, so that it would never expire.
  ReplicaTable Table;
  Table.update(recordOf("b", 1000), Millis(0));
  Table.recordReport("g", {"b", {1, 100}, Millis(1)}, Millis(10));
  REQUIRE(Table.find("g", "b")->holdsNow({1, 100}));
  ReplicaTable::SentReports Sent;
  CHECK_FALSE(Table.nextReport("g", "", Sent, Millis(20)));
  Table.recordAnswer("g", "b", {1, 101}, Millis(30), Millis(32));
  CHECK_FALSE(Table.nextReport("g", "b", Sent, Millis(40)));
  const auto Report = Table.nextReport("g", "", Sent, Millis(40));
  REQUIRE(Report);
  CHECK(*Report == ReplicaReport{"b", {1, 101}, Millis(8)});
}
