/// \file
/// Admission of one database's requests at one proxy: who waits, who is
/// refused and when they may come back.
///
/// Load pattern: a burst, or lasting load of twice the capacity. Without this
/// module the queue grows until everything in it is served too late: the
/// database is busy and no caller gets an answer in time.
///
/// A request is refused on arrival where the estimated wait and its own cost
/// reach past its deadline. By Little's law the wait is the cost ahead
/// divided by the statements that run at a time, whatever the targets' own
/// parallelism is, because cost is measured from sending to answer. Where the
/// pace falls afterwards (a slow target), those that can't be served any more
/// get their answer at once instead of at their deadline.
///
/// Reads and writes have a controller each: they wait for different targets,
/// and an organisation's browsing is no reason to hold up its writes.

#ifndef CORIANDERDYKE_ADMISSION_ADMISSIONCONTROLLER_H
#define CORIANDERDYKE_ADMISSION_ADMISSIONCONTROLLER_H

#include "Admission/HoldTimeEstimate.h"
#include "Admission/QueueDiscipline.h"
#include "Admission/RetrySchedule.h"

#include <memory>

namespace corianderdyke {

enum class RefusalReason : std::uint8_t {
  DeadlineOutOfReach, ///< Couldn't be served in time on arrival.
  QueueFull,
  Displaced, ///< Gave way to an organisation that uses less of the queue.
  GivenUp,   ///< The pace fell while it waited.
};

/// The reason as callers are told it.
std::string refusalText(RefusalReason Reason);

/// The caller gets this as "not run": nothing was sent to a target.
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
  /// Over all that were sent.
  Millis TotalWait;
  Millis LongestWait;

  auto operator<=>(const AdmissionCounts &) const = default;
};

class AdmissionController {
public:
  AdmissionController(std::unique_ptr<QueueDiscipline> Order,
                      std::size_t QueueLimit, std::uint64_t Seed)
      : Discipline(std::move(Order)), QueueLimit(QueueLimit), RetryTimes(Seed) {
  }

  void setQueueLimit(std::size_t Limit) { QueueLimit = Limit; }

  /// Takes a request in. The refusals that follow: its own, or that of one
  /// which it displaces.
  std::vector<Refusal> admit(QueuedRequest Request, Millis Now);

  /// The next request to send now; it runs until complete() is told. Those
  /// that are given up on the way are added to \p GivenUp.
  std::optional<QueuedRequest>
  next(const QueueDiscipline::RunnablePredicate &CanRun, Millis Now,
       std::vector<Refusal> &GivenUp);

  /// A request of next() holds no connection any more. \p Spent is the time
  /// from its sending to its answer, nothing where it wasn't sent.
  void complete(const QueuedRequest &Request, std::optional<double> Spent);

  /// Gives up those that can't be served in time any more.
  std::vector<Refusal> shedUnservable(Millis Now);

  /// The caller has left.
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
  HoldTimeEstimate Costs;
  RetrySchedule RetryTimes;
  AdmissionCounts Counts;
  std::size_t Running = 0;
  /// The last number of running ones that wasn't 0.
  std::size_t LastConcurrency = 1;
};

} // namespace corianderdyke

#endif
