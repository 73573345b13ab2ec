/// \file
/// Order of queued requests, reasons of refusals, and retry delays.

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
double equalWeight(const std::string &) { return 1; }
bool anyRequest(const QueuedRequest &) { return true; }

QueuedRequest request(std::uint64_t Id, const std::string &Organisation,
                      Millis DeadlineAt = Millis(10000)) {
  return {Id, Organisation, "lookup", Millis(), DeadlineAt, 5};
}

AdmissionController fairController(std::size_t QueueLimit) {
  return {std::make_unique<FairQueue>(shareOf, equalWeight), QueueLimit, 7};
}

/// Pops the next request and completes it at the cost \p Spent, in ms; 5 ms is
/// the expected cost. Returns its organisation.
std::string serveOne(QueueDiscipline &Queue, double Cost = 5) {
  const auto Next = Queue.pop(anyRequest);
  if (!Next)
    return "";
  Queue.complete(*Next, Cost);
  return Next->Organisation;
}

} // namespace

TEST_CASE("Two flooding organisations are served by their shares",
          "[admission]") {
  FairQueue Queue(shareOf, equalWeight);
  for (std::uint64_t Id = 1; Id <= 80; ++Id) {
    Queue.push(request(Id, "mills"));
    Queue.push(request(Id + 100, "brokers"));
  }
  int Mills = 0;
  for (int Turn = 0; Turn < 40; ++Turn)
    Mills += serveOne(Queue) == "mills" ? 1 : 0;
  CHECK(Mills == 30);
}

TEST_CASE("Long statements do not exceed the share of their organisation",
          "[admission]") {
  // The brokers send only statements of ten times the usual duration. If
  // shares were counted in statements, the mills would get three statements to
  // one but only a quarter of the time.
  FairQueue Queue(shareOf, equalWeight);
  for (std::uint64_t Id = 1; Id <= 400; ++Id) {
    Queue.push(request(Id, "mills"));
    Queue.push(request(Id + 1000, "brokers"));
  }
  double Mills = 0;
  double Brokers = 0;
  for (int Turn = 0; Turn < 300; ++Turn) {
    const auto Next = Queue.pop(anyRequest);
    REQUIRE(Next);
    const bool IsMill = Next->Organisation == "mills";
    Queue.complete(*Next, IsMill ? 5 : 50);
    (IsMill ? Mills : Brokers) += IsMill ? 5 : 50;
  }
  CHECK(Mills / (Mills + Brokers) == Approx(0.75).margin(0.03));
}

TEST_CASE("A lent share is returned with the next statement", "[admission]") {
  // The brokers have used the idle database for a long time. The first request
  // of the mills is served next, but the mills get no credit for idle time.
  FairQueue Queue(shareOf, equalWeight);
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

TEST_CASE("A request that cannot meet its deadline is refused on arrival",
          "[admission]") {
  // 40 requests of 5 ms wait for one connection. A request with a deadline in
  // 100 ms must be refused on arrival, not after 100 ms.
  AdmissionController Controller = fairController(100);
  std::vector<Refusal> GivenUp;
  const Millis Now(1000);
  for (std::uint64_t Id = 1; Id <= 41; ++Id)
    REQUIRE(Controller.admit(request(Id, "mills"), Now).empty());
  REQUIRE(Controller.next(anyRequest, Now, GivenUp));
  const auto Refused =
      Controller.admit(request(50, "mills", Millis(1100)), Now);
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Reason == RefusalReason::DeadlineOutOfReach);
  CHECK(Refused[0].RetryAfter >= Millis(100));
  CHECK(Controller.admit(request(51, "mills", Millis(1300)), Now).empty());
  // The queue of the mills does not delay another organisation.
  CHECK(Controller.admit(request(52, "brokers", Millis(1100)), Now).empty());
}

TEST_CASE("Retry delays of refused requests are spread", "[admission]") {
  // A burst of 300 requests is refused at one moment. Their retry delays must
  // be spread at the rate of one connection: at most 6 in any 20 ms.
  AdmissionController Controller = fairController(1);
  std::vector<Refusal> GivenUp;
  const Millis Now(1000);
  Controller.admit(request(1, "mills"), Now);
  REQUIRE(Controller.next(anyRequest, Now, GivenUp));
  std::map<std::int64_t, int> Returning;
  for (std::uint64_t Id = 2; Id <= 300; ++Id)
    for (const Refusal &Each : Controller.admit(request(Id, "mills"), Now))
      ++Returning[Each.RetryAfter.count() / 20];
  for (const auto &[When, Number] : Returning)
    CHECK(Number <= 6);
  CHECK(Returning.size() >= 70);
}

TEST_CASE("A full queue displaces a request of its largest user",
          "[admission]") {
  AdmissionController Controller = fairController(10);
  std::vector<Refusal> GivenUp;
  Controller.admit(request(1, "brokers"), Millis());
  REQUIRE(Controller.next(anyRequest, Millis(), GivenUp));
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

TEST_CASE("Waiting requests are refused as soon as the target slows down",
          "[admission]") {
  // Ten requests wait for a connection when its target slows from 5 to 500 ms.
  // The last ones must be refused at the next check, not at their deadlines.
  AdmissionController Controller = fairController(100);
  std::vector<Refusal> GivenUp;
  for (std::uint64_t Id = 1; Id <= 12; ++Id)
    Controller.admit(request(Id, "mills", Millis(2000)), Millis());
  const auto First = Controller.next(anyRequest, Millis(), GivenUp);
  REQUIRE(First);
  CHECK(Controller.shedUnservable(Millis(1)).empty());
  Controller.complete(*First, 500);
  const auto Second = Controller.next(anyRequest, Millis(500), GivenUp);
  REQUIRE(Second);
  CHECK(GivenUp.empty());
  // 1.5 s are left: the running request and two more fit in.
  const auto Late = Controller.shedUnservable(Millis(500));
  CHECK(Late.size() == 7);
  for (const Refusal &Each : Late)
    CHECK(Each.Reason == RefusalReason::GivenUp);
}

TEST_CASE("An old estimate does not refuse requests for ever", "[admission]") {
  // One response took 5 s during an outage. A later request with a deadline in
  // 1 s must be admitted: no request is running that could correct the
  // estimate.
  AdmissionController Controller = fairController(10);
  std::vector<Refusal> GivenUp;
  Controller.admit(request(1, "mills"), Millis());
  const auto Slow = Controller.next(anyRequest, Millis(), GivenUp);
  REQUIRE(Slow);
  Controller.complete(*Slow, 5000);
  CHECK(Controller.admit(request(2, "mills", Millis(7000)), Millis(6000))
            .empty());
  CHECK(Controller.next(anyRequest, Millis(6000), GivenUp));
}

TEST_CASE("The baseline queue disciplines serve in their defined order",
          "[admission]") {
  FifoQueue Plain;
  StaticSplitQueue Split([](const std::string &) { return 0.5; }, 2);
  for (QueueDiscipline *Each :
       std::initializer_list<QueueDiscipline *>{&Plain, &Split}) {
    for (std::uint64_t Id = 1; Id <= 5; ++Id)
      Each->push(request(Id, "brokers"));
    Each->push(request(6, "mills"));
  }
  CHECK(Plain.costAhead("mills", "lookup") == Approx(30));
  CHECK(Plain.pop(anyRequest)->Id == 1);
  CHECK(Plain.pop(anyRequest)->Id == 2);
  CHECK(Split.pop(anyRequest)->Organisation == "brokers");
  CHECK(Split.pop(anyRequest)->Organisation == "mills");
  // The half of the brokers is in use; the idle half of the mills is not lent.
  CHECK_FALSE(Split.pop(anyRequest));
}

TEST_CASE("Retries are limited to a fixed part of the load", "[admission]") {
  RetryBudget Budget;
  std::uint64_t Retried = 0;
  for (int Turn = 0; Turn < 10000; ++Turn) {
    Budget.recordFirstAttempt();
    // Every statement fails, and so does its retry.
    while (Budget.tryTake())
      ++Retried;
  }
  // 10 retries from the burst, then 1 for every 10 of the 9999 statements
  // after the first.
  CHECK(Retried == 1009);
  CHECK(Budget.refused() > 0);
}
