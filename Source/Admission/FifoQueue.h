/// \file
/// First-come, first-served queue, used as a baseline for measurements.

#ifndef CORIANDERDYKE_ADMISSION_FIFOQUEUE_H
#define CORIANDERDYKE_ADMISSION_FIFOQUEUE_H

#include "Admission/QueueDiscipline.h"

#include <deque>

namespace corianderdyke {

/// Serves requests in order of arrival, so that an overload by one organisation
/// delays all others.
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
