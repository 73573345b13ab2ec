/// \file
/// Who is next, who is refused, and when they may come back.

#include "Admission/AdmissionController.h"
#include "Admission/FairQueue.h"
#include "Admission/FifoQueue.h"
#include "Admission/RetryBudget.h"
#include "Admission/StaticSplitQueue.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

double shareOf(const std::string &Organisation) {
  return Organisation == "mills" ? 3 : 1;
}
double evenly(const std::string &) { return 1; }
bool anyone(const QueuedRequest &) { return true; }

QueuedRequest request(std::uint64_t Id, const std::string &Organisation,
                      Millis DeadlineAt = Millis(10000)) {
  return {Id, Organisation, "lookup", Millis(), DeadlineAt, 5};
}

AdmissionController fairController(std::size_t QueueLimit) {
  return {std::make_unique<FairQueue>(shareOf, evenly), QueueLimit, 7};
}

/// Sends the next one and finishes it after the 5 ms that were expected.
std::string serveOne(QueueDiscipline &Queue, double Spent = 5) {
  const auto Next = Queue.pop(anyone);
  if (!Next)
    return "";
  Queue.complete(*Next, Spent);
  return Next->Organisation;
}

} // namespace

TEST_CASE("Two flooding organisations are served by their shares",
          "[admission]") {
  FairQueue Queue(shareOf, evenly);
  for (std::uint64_t Id = 1; Id <= 80; ++Id) {
    Queue.push(request(Id, "mills"));
    Queue.push(request(Id + 100, "brokers"));
  }
  int Mills = 0;
  for (int Turn = 0; Turn < 40; ++Turn)
    Mills += serveOne(Queue) == "mills" ? 1 : 0;
  CHECK(Mills == 30);
}

TEST_CASE("Long statements buy no more than their organisation's share",
          "[admission]") {
  // One broker sends only statements of ten times the usual length. By
  // number the mills would get three turns to one, and a quarter of the time.
  FairQueue Queue(shareOf, evenly);
  for (std::uint64_t Id = 1; Id <= 400; ++Id) {
    Queue.push(request(Id, "mills"));
    Queue.push(request(Id + 1000, "brokers"));
  }
  double Mills = 0;
  double Brokers = 0;
  for (int Turn = 0; Turn < 300; ++Turn) {
    const auto Next = Queue.pop(anyone);
    REQUIRE(Next);
    const bool IsMill = Next->Organisation == "mills";
    Queue.complete(*Next, IsMill ? 5 : 50);
    (IsMill ? Mills : Brokers) += IsMill ? 5 : 50;
  }
  CHECK(Mills / (Mills + Brokers) == Approx(0.75).margin(0.03));
}

TEST_CASE("A lent share is back with the next statement", "[admission]") {
  // The brokers have used the idle database for a long time. The first mill
  // that comes back is next, and can't save its idle time up either.
  FairQueue Queue(shareOf, evenly);
  for (std::uint64_t Id = 1; Id <= 300; ++Id)
    Queue.push(request(Id, "brokers"));
  for (int Turn = 0; Turn < 200; ++Turn)
    serveOne(Queue);
  for (std::uint64_t Id = 1001; Id <= 1100; ++Id)
    Queue.push(request(Id, "mills"));
  CHECK(serveOne(Queue) == "mills");
  int Mills = 0;
  for (int Turn = 0; Turn < 40; ++Turn)
    Mills += serveOne(Queue) == "mills" ? 1 : 0;
  CHECK(Mills == Approx(30).margin(1));
}

TEST_CASE("A request that can't be served in time is refused on arrival",
          "[admission]") {
  // 40 requests of 5 ms wait for one connection. A caller with 100 ms of
  // patience hears at once that it's too late, and not after 100 ms.
  AdmissionController Controller = fairController(100);
  std::vector<Refusal> GivenUp;
  const Millis Now(1000);
  for (std::uint64_t Id = 1; Id <= 41; ++Id)
    REQUIRE(Controller.admit(request(Id, "mills"), Now).empty());
  REQUIRE(Controller.next(anyone, Now, GivenUp));
  const auto Refused =
      Controller.admit(request(50, "mills", Millis(1100)), Now);
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Reason == RefusalReason::DeadlineOutOfReach);
  CHECK(Refused[0].RetryAfter >= Millis(100));
  CHECK(Controller.admit(request(51, "mills", Millis(1300)), Now).empty());
  // Another organisation isn't held up by the mills' queue.
  CHECK(Controller.admit(request(52, "brokers", Millis(1100)), Now).empty());
}

TEST_CASE("Refused callers are told to come back one by one", "[admission]") {
  // A burst of 300 is refused within a moment. What they are told spreads
  // them at the pace of one connection: at most a few in any 20 ms.
  AdmissionController Controller = fairController(1);
  std::vector<Refusal> GivenUp;
  const Millis Now(1000);
  Controller.admit(request(1, "mills"), Now);
  REQUIRE(Controller.next(anyone, Now, GivenUp));
  std::map<std::int64_t, int> Returning;
  for (std::uint64_t Id = 2; Id <= 300; ++Id)
    for (const Refusal &Each : Controller.admit(request(Id, "mills"), Now))
      ++Returning[Each.RetryAfter.count() / 20];
  for (const auto &[When, Number] : Returning)
    CHECK(Number <= 6);
  CHECK(Returning.size() >= 70);
}

TEST_CASE("A full queue makes room for who uses less of it", "[admission]") {
  AdmissionController Controller = fairController(10);
  std::vector<Refusal> GivenUp;
  Controller.admit(request(1, "brokers"), Millis());
  REQUIRE(Controller.next(anyone, Millis(), GivenUp));
  for (std::uint64_t Id = 2; Id <= 11; ++Id)
    REQUIRE(Controller.admit(request(Id, "brokers"), Millis()).empty());
  const auto Own = Controller.admit(request(12, "brokers"), Millis());
  REQUIRE(Own.size() == 1);
  CHECK(Own[0].Request.Id == 12);
  CHECK(Own[0].Reason == RefusalReason::QueueFull);
  const auto Others = Controller.admit(request(13, "mills"), Millis());
  REQUIRE(Others.size() == 1);
  CHECK(Others[0].Request.Id == 11);
  CHECK(Others[0].Reason == RefusalReason::Displaced);
  CHECK(Controller.queued() == 10);
}

TEST_CASE("Waiting requests are given up as soon as the pace falls",
          "[admission]") {
  // Ten wait for a connection when its target slows from 5 to 500 ms. Those
  // at the back hear it at the next look and not at their deadlines.
  AdmissionController Controller = fairController(100);
  std::vector<Refusal> GivenUp;
  for (std::uint64_t Id = 1; Id <= 12; ++Id)
    Controller.admit(request(Id, "mills", Millis(2000)), Millis());
  const auto First = Controller.next(anyone, Millis(), GivenUp);
  REQUIRE(First);
  CHECK(Controller.shedUnservable(Millis(1)).empty());
  Controller.complete(*First, 500);
  const auto Second = Controller.next(anyone, Millis(500), GivenUp);
  REQUIRE(Second);
  CHECK(GivenUp.empty());
  // 1.5 s are left: the running one and two more fit in.
  const auto Late = Controller.shedUnservable(Millis(500));
  CHECK(Late.size() == 7);
  for (const Refusal &Each : Late)
    CHECK(Each.Reason == RefusalReason::GivenUp);
}

TEST_CASE("An old estimate doesn't refuse for ever", "[admission]") {
  // One answer took 5 s during an outage. The next caller, after it, has 1 s
  // and is let through: nothing runs that would say it's hopeless.
  AdmissionController Controller = fairController(10);
  std::vector<Refusal> GivenUp;
  Controller.admit(request(1, "mills"), Millis());
  const auto Slow = Controller.next(anyone, Millis(), GivenUp);
  REQUIRE(Slow);
  Controller.complete(*Slow, 5000);
  CHECK(Controller.admit(request(2, "mills", Millis(7000)), Millis(6000))
            .empty());
  CHECK(Controller.next(anyone, Millis(6000), GivenUp));
}

TEST_CASE("The baselines do what they are measured for", "[admission]") {
  FifoQueue Plain;
  StaticSplitQueue Split([](const std::string &) { return 0.5; }, 2);
  for (QueueDiscipline *Each :
       std::initializer_list<QueueDiscipline *>{&Plain, &Split}) {
    for (std::uint64_t Id = 1; Id <= 5; ++Id)
      Each->push(request(Id, "brokers"));
    Each->push(request(6, "mills"));
  }
  CHECK(Plain.costAhead("mills", "lookup") == Approx(30));
  CHECK(Plain.pop(anyone)->Id == 1);
  CHECK(Plain.pop(anyone)->Id == 2);
  CHECK(Split.pop(anyone)->Organisation == "brokers");
  CHECK(Split.pop(anyone)->Organisation == "mills");
  // The brokers' half is in use, the mills' idle half stays idle.
  CHECK_FALSE(Split.pop(anyone));
}

TEST_CASE("Retries are a stated part of the load", "[admission]") {
  RetryBudget Budget;
  std::uint64_t Retried = 0;
  for (int Turn = 0; Turn < 10000; ++Turn) {
    Budget.recordFirstAttempt();
    // Every statement fails, and its retry as well.
    while (Budget.tryTake())
      ++Retried;
  }
  // Ten of the burst, then one for ten of the 9999 after the first.
  CHECK(Retried == 1009);
  CHECK(Budget.refused() > 0);
}
