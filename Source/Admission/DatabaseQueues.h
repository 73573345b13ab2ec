/// \file
/// The request queues of a proxy: for each database one for reads and one for
/// writes.

#ifndef CORIANDERDYKE_ADMISSION_DATABASEQUEUES_H
#define CORIANDERDYKE_ADMISSION_DATABASEQUEUES_H

#include "Admission/AdmissionController.h"
#include "Manifest/Manifest.h"

namespace corianderdyke {

/// The attributes of a statement that admission depends on.
struct AdmissionRequest {
  std::uint64_t Id = 0;
  std::string Database;
  Access Mode = Access::Read;
  std::string Organisation;
  std::string Kind;
  Millis DeadlineAt;

  auto operator<=>(const AdmissionRequest &) const = default;
};

/// The state of one queue, for metrics and status reports.
struct QueueStatus {
  std::string Database;
  Access Mode = Access::Read;
  std::size_t Queued = 0;
  std::size_t Running = 0;
  AdmissionCounts Counts;

  auto operator<=>(const QueueStatus &) const = default;
};

class DatabaseQueues {
public:
  using RunnablePredicate = std::function<bool(std::uint64_t Id)>;

  explicit DatabaseQueues(std::uint64_t Seed) : Seed(Seed) {}

  /// Applies the shares, weights and limits of a manifest.
  void update(const Manifest &Current);

  /// Queues a request. Returns the resulting refusals: its own, or that of a
  /// request that it displaces.
  std::vector<Refusal> admit(const AdmissionRequest &Request, Millis Now);

  /// Returns the next request of a database to send; it counts as running until
  /// remove() is called. Requests that are too late to send are added to
  /// \p GivenUp.
  std::optional<std::uint64_t> next(const std::string &Database,
                                    const RunnablePredicate &CanRun, Millis Now,
                                    std::vector<Refusal> &GivenUp);

  /// Removes a request that no longer waits or holds a connection. Does nothing
  /// if it was removed before. \p IsAnswered is true if a target answered it.
  void remove(std::uint64_t Id, bool IsAnswered, Millis Now);

  /// Removes and returns the requests that can no longer be served in time.
  std::vector<Refusal> shedUnservable(Millis Now);

  std::size_t queued(const std::string &Database, Access Mode) const;
  std::vector<QueueStatus> status() const;

private:
  using QueueKey = std::pair<std::string, Access>;

  struct RequestState {
    QueueKey Queue;
    /// Set while it runs.
    std::optional<QueuedRequest> Running;
    Millis SentAt;
  };

  AdmissionController &controller(const QueueKey &Key);
  void forget(const std::vector<Refusal> &Refused);

  std::uint64_t Seed;
  std::size_t QueueLimit = LimitPolicy().QueuePerDatabase;
  std::map<std::string, double> Shares;
  std::map<std::string, double> Weights;
  std::map<QueueKey, std::unique_ptr<AdmissionController>> Controllers;
  std::map<std::uint64_t, RequestState> Requests;
};

} // namespace corianderdyke

#endif
