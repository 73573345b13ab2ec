/// \file
/// The plain queue: first come, first served. A baseline for measurements.

#ifndef CORIANDERDYKE_ADMISSION_FIFOQUEUE_H
#define CORIANDERDYKE_ADMISSION_FIFOQUEUE_H

#include "Admission/QueueDiscipline.h"

#include <deque>

namespace corianderdyke {

/// Under a flood by one organisation the others wait behind all of it.
class FifoQueue final : public QueueDiscipline {
public:
  void push(QueuedRequest Request) override;
  std::optional<QueuedRequest> pop(const RunnablePredicate &CanRun) override;
  void complete(const QueuedRequest &Request, double Spent) override;
  std::optional<QueuedRequest> remove(std::uint64_t Id) override;
  std::optional<std::uint64_t>
  displacementVictim(const std::string &Organisation) const override;
  double costAhead(const std::string &Organisation,
                   const std::string &Kind) const override;
  double expectedShare(const std::string &Organisation) const override;
  std::vector<WaitingRequest> waiting() const override;
  std::size_t size() const override { return Requests.size(); }

private:
  std::deque<QueuedRequest> Requests;
};

} // namespace corianderdyke

#endif
