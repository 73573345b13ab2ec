/// \file
/// The queues of a proxy: for each database one for reads and one for writes.

#ifndef CORIANDERDYKE_ADMISSION_DATABASEQUEUES_H
#define CORIANDERDYKE_ADMISSION_DATABASEQUEUES_H

#include "Admission/AdmissionController.h"
#include "Manifest/Manifest.h"

namespace corianderdyke {

/// What admission has to know of a statement.
struct AdmissionRequest {
  std::uint64_t Id = 0;
  std::string Database;
  Access Mode = Access::Read;
  std::string Organisation;
  std::string Kind;
  Millis DeadlineAt;

  auto operator<=>(const AdmissionRequest &) const = default;
};

/// One queue, for metrics and status.
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

  /// Takes the shares, weights and bounds of a manifest.
  void update(const Manifest &Current);

  /// Takes a request in; the refusals that follow, its own or another's.
  std::vector<Refusal> admit(const AdmissionRequest &Request, Millis Now);

  /// The next request of a database to send; it runs until it leaves.
  std::optional<std::uint64_t> next(const std::string &Database,
                                    const RunnablePredicate &CanRun, Millis Now,
                                    std::vector<Refusal> &GivenUp);

  /// A request holds no connection any more, or waits no longer. Harmless
  /// for one that left before. \p IsAnswered: a target took it and answered.
  void remove(std::uint64_t Id, bool IsAnswered, Millis Now);

  /// Those that can't be served in time any more.
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

  AdmissionController &controller(const QueueKey &Where);
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
