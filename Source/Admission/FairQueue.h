/// \file
/// Weighted fair queueing over organisations, then over kinds.
///
/// If one organisation offers many times its share, or only long statements,
/// while others offer little, a first-come, first-served queue makes the others
/// wait behind the overload and miss their deadlines.
///
/// The queue uses start-time fair queueing: each organisation has a virtual
/// time that advances by cost divided by share, and the one with the lowest
/// virtual time is served next. Cost is the time that statements take at a
/// target, not their number, so that long statements give no advantage. The
/// estimated charge is corrected when the statement ends. An organisation that
/// was idle starts at the current virtual time: it is served next, so it
/// regains its share when one running statement ends, but it cannot accumulate
/// credit while idle.

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
  /// Requests of one kind of one organisation, served in order of arrival.
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
    double RecentUse = 0; ///< Recent fraction of the total charge.
  };

  double estimateCharge(const QueuedRequest &For) const;
  double recordCharge(const QueuedRequest &Request, double Spent);
  double shareOf(const std::string &Organisation) const;
  double weightOf(const std::string &Kind) const;
  /// Sum of the shares of \p Organisation and of all organisations with
  /// waiting, running or recent requests.
  double activeShares(const std::string &Organisation) const;
  double estimateCostAhead(const std::string &Organisation,
                           const std::string &Kind, double FlowCost) const;
  void erase(OrganisationState &State, Flow &From,
             std::deque<QueuedRequest>::iterator At);

  WeightFunction Share;
  WeightFunction KindWeight;
  ServiceTimeEstimate Service;
  std::map<std::string, OrganisationState> Organisations;
  std::size_t Length = 0;
  double Cost = 0;
  double MeanCharge = 1;
  /// The start time of the last request that was sent; never decreases.
  double VirtualTime = 0;
};

} // namespace corianderdyke

#endif
