/// \file
/// Statements that wait for a connection.

#ifndef CORIANDERDYKE_PIPELINE_JOBQUEUE_H
#define CORIANDERDYKE_PIPELINE_JOBQUEUE_H

#include "Pipeline/CallerSession.h"

#include <algorithm>
#include <list>

namespace corianderdyke {

/// Ordered by rank, then by arrival.
class JobQueue {
public:
  using List = std::list<SessionJobPtr>;

  /// Visits each job once, in order. Any jobs may be inserted and removed
  /// meanwhile: a removed one is not visited any more, nor is one inserted
  /// before the next.
  class Pass {
  public:
    explicit Pass(JobQueue &Over)
        : Over(Over), Outer(Over.Innermost), Current(Over.Jobs.end()),
          Next(Over.Jobs.begin()) {
      Over.Innermost = this;
    }
    ~Pass() { Over.Innermost = Outer; }
    Pass(const Pass &) = delete;
    Pass &operator=(const Pass &) = delete;

    /// Returns null after the last job.
    SessionJobPtr next() {
      Current = Next;
      if (Current == Over.Jobs.end())
        return nullptr;
      ++Next;
      return *Current;
    }
    /// Removes the job that was returned last, unless it has been removed.
    void removeCurrent() { Over.erase(Current); }

  private:
    friend class JobQueue;

    JobQueue &Over;
    Pass *Outer; ///< The pass in which this one runs; null if there is none.
    List::iterator Current;
    List::iterator Next;
  };

  JobQueue() = default;
  // Passes refer to the queue.
  JobQueue(const JobQueue &) = delete;
  JobQueue &operator=(const JobQueue &) = delete;

  const List &jobs() const { return Jobs; }
  bool empty() const { return Jobs.empty(); }
  std::size_t size() const { return Jobs.size(); }

  void insert(const SessionJobPtr &New) {
    auto Place = Jobs.end();
    while (Place != Jobs.begin() && (*std::prev(Place))->rank() > New->rank())
      --Place;
    Jobs.insert(Place, New);
  }
  /// Removes the job if it waits here.
  void remove(const SessionJobPtr &Job) {
    erase(std::find(Jobs.begin(), Jobs.end(), Job));
  }

private:
  void erase(List::iterator At) {
    if (At == Jobs.end())
      return;
    for (Pass *Each = Innermost; Each != nullptr; Each = Each->Outer) {
      if (Each->Current == At)
        Each->Current = Jobs.end();
      if (Each->Next == At)
        ++Each->Next;
    }
    Jobs.erase(At);
  }

  List Jobs;
  Pass *Innermost = nullptr; ///< The latest pass; null if there is none.
};

} // namespace corianderdyke

#endif
