/// \file
/// Admission control for one database's requests at one proxy: decides which
/// requests wait, which are refused and when their callers may retry.
///
/// During a burst, or under sustained load of twice the capacity, an unbounded
/// queue grows until every request in it is served too late: the database is
/// busy and no caller gets an answer in time.
///
/// A request is refused on arrival if the estimated wait plus its own cost
/// exceeds the time until its deadline. By Little's law the wait is the cost
/// ahead divided by the number of statements running at a time, whatever the
/// targets' own parallelism is, because cost is measured from sending to
/// answer. If the service rate drops later (a slow target), requests that can
/// no longer be served in time are refused at once instead of at their
/// deadline.
///
/// Reads and writes have separate controllers: they wait for different targets,
/// and an organisation's reads must not delay its writes.

#ifndef CORIANDERDYKE_ADMISSION_ADMISSIONCONTROLLER_H
#define CORIANDERDYKE_ADMISSION_ADMISSIONCONTROLLER_H

#include "Admission/HoldTimeEstimate.h"
#include "Admission/QueueDiscipline.h"
#include "Admission/RetrySchedule.h"

#include <memory>

namespace corianderdyke {

enum class RefusalReason : std::uint8_t {
  /// On arrival, the estimated wait and cost exceeded the time until the
  /// deadline.
  DeadlineOutOfReach,
  QueueFull,
  Displaced, ///< Evicted for an organisation that uses less of the queue.
  GivenUp,   ///< Could not be served in time any more while it waited.
};

/// The text of the reason in replies to callers.
std::string refusalText(RefusalReason Reason);

/// A request that was refused. The caller's outcome is "not-run": nothing was
/// sent to a target.
struct Refusal {
  QueuedRequest Request;
  RefusalReason Reason = RefusalReason::QueueFull;
  Millis RetryAfter;

  auto operator<=>(const Refusal &) const = default;
};

/// Counters for metrics.
struct AdmissionCounts {
  std::uint64_t Arrived = 0;
  std::uint64_t Sent = 0;
  std::uint64_t DeadlineOutOfReach = 0;
  std::uint64_t QueueFull = 0;
  std::uint64_t Displaced = 0;
  std::uint64_t GivenUp = 0;
  /// Sum over all requests that were sent.
  Millis TotalWait;
  Millis LongestWait;

  auto operator<=>(const AdmissionCounts &) const = default;
};

class AdmissionController {
public:
  AdmissionController(std::unique_ptr<QueueDiscipline> Discipline,
                      std::size_t QueueLimit, std::uint64_t Seed)
      : Discipline(std::move(Discipline)), QueueLimit(QueueLimit),
        RetryTimes(Seed) {}

  void setQueueLimit(std::size_t Limit) { QueueLimit = Limit; }

  /// Queues a request. Returns the resulting refusals: its own, or that of a
  /// request that it displaces.
  std::vector<Refusal> admit(QueuedRequest Request, Millis Now);

  /// Returns the next request to send; it counts as running until complete() is
  /// called. Requests that are too late to send are added to \p GivenUp.
  std::optional<QueuedRequest>
  next(const QueueDiscipline::RunnablePredicate &CanRun, Millis Now,
       std::vector<Refusal> &GivenUp);

  /// Records that a request from next() has released its connection. \p Spent
  /// is the time from sending to answer, nothing if it was not sent.
  void complete(const QueuedRequest &Request, std::optional<double> Spent);

  /// Removes and returns the requests that can no longer be served in time.
  std::vector<Refusal> shedUnservable(Millis Now);

  /// Removes a waiting request whose caller has disconnected.
  bool remove(std::uint64_t Id) { return Discipline->remove(Id).has_value(); }

  std::size_t queued() const { return Discipline->size(); }
  std::size_t running() const { return Running; }
  double expectedShare(const std::string &Organisation) const {
    return Discipline->expectedShare(Organisation);
  }
  const AdmissionCounts &counts() const { return Counts; }

private:
  Refusal refuse(QueuedRequest Request, RefusalReason Reason, double Wait,
                 Millis Now);
  double estimatedWait(double CostAhead) const;
  std::optional<Refusal> refuseOnArrival(const QueuedRequest &Request,
                                         Millis Now);

  std::unique_ptr<QueueDiscipline> Discipline;
  std::size_t QueueLimit;
  HoldTimeEstimate HoldTimes;
  RetrySchedule RetryTimes;
  AdmissionCounts Counts;
  std::size_t Running = 0;
  /// The last number of running requests that was not 0.
  std::size_t LastConcurrency = 1;
};

} // namespace corianderdyke

#endif
