/// \file
/// Weighted fair queueing over organisations, then over kinds.
///
/// Load pattern: one organisation offers many times its share, or only long
/// statements, while others offer little. Without this module the others wait
/// behind the flood and miss their deadlines.
///
/// Start-time fair queueing: each organisation has a virtual time that moves
/// by cost divided by share; the one furthest back is next. Cost is the time
/// that statements take of a target, not their number, so long statements
/// buy nothing. What was charged by the estimate is corrected when the
/// statement has ended. An organisation that was idle starts at the current
/// virtual time: it's next at once, so a lent share is back when one running
/// statement ends, and it can't save up idle time for a flood of its own.

#ifndef CORIANDERDYKE_ADMISSION_FAIRQUEUE_H
#define CORIANDERDYKE_ADMISSION_FAIRQUEUE_H

#include "Admission/QueueDiscipline.h"
#include "Admission/ServiceTimeEstimate.h"

#include <deque>
#include <map>

namespace corianderdyke {

class FairQueue final : public QueueDiscipline {
public:
  FairQueue(WeightFunction Share, WeightFunction KindWeight)
      : Share(std::move(Share)), KindWeight(std::move(KindWeight)) {}

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
  std::size_t size() const override { return Length; }

private:
  /// Requests of one kind of one organisation, first come first served.
  struct Flow {
    std::deque<QueuedRequest> Requests;
    double Cost = 0;
    double VirtualTime = 0;
  };

  struct OrganisationState {
    std::map<std::string, Flow> Flows;
    std::size_t Length = 0;
    double Cost = 0;
    double VirtualTime = 0;
    double KindVirtualTime = 0; ///< Virtual time of its kinds.
    std::size_t Running = 0;
    double RecentUse =
        0; ///< Recent part of the time that connections were held.
  };

  double estimateCharge(const QueuedRequest &For) const;
  double recordCharge(const QueuedRequest &Request, double Spent);
  double shareOf(const std::string &Organisation) const;
  double weightOf(const std::string &Kind) const;
  /// Shares of \p Organisation and of all that wait, run or ran lately.
  double activeShares(const std::string &Organisation) const;
  double estimateCostAhead(const std::string &Organisation,
                           const std::string &Kind, double InFlow) const;
  void erase(OrganisationState &Of, Flow &From,
             std::deque<QueuedRequest>::iterator At);

  WeightFunction Share;
  WeightFunction KindWeight;
  ServiceTimeEstimate Service;
  std::map<std::string, OrganisationState> Organisations;
  std::size_t Length = 0;
  double Cost = 0;
  double MeanCharge = 1;
  /// Never goes back: the start of the last request that was sent.
  double VirtualTime = 0;
};

} // namespace corianderdyke

#endif
