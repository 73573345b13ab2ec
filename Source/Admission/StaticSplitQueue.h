/// \file
/// Queue that gives each organisation a fixed part of the connections, used as
/// a baseline for measurements. It isolates organisations but leaves unused
/// connections idle.

#ifndef CORIANDERDYKE_ADMISSION_STATICSPLITQUEUE_H
#define CORIANDERDYKE_ADMISSION_STATICSPLITQUEUE_H

#include "Admission/FairQueue.h"

namespace corianderdyke {

class StaticSplitQueue final : public QueueDiscipline {
public:
  /// \p Portion returns each organisation's fraction of the \p Connections;
  /// less than one connection counts as one.
  StaticSplitQueue(WeightFunction Portion, std::size_t Connections)
      : Portion(std::move(Portion)), Connections(Connections),
        Inner([](const std::string &) { return 1.0; },
              [](const std::string &) { return 1.0; }) {}

  void push(QueuedRequest Request) override { Inner.push(std::move(Request)); }
  std::optional<QueuedRequest> pop(const RunnablePredicate &CanRun) override;
  void complete(const QueuedRequest &Request, double Spent) override;
  std::optional<QueuedRequest> remove(std::uint64_t Id) override {
    return Inner.remove(Id);
  }
  std::optional<std::uint64_t>
  displacementVictim(const std::string &Organisation) const override {
    return Inner.displacementVictim(Organisation);
  }
  double costAhead(const std::string &Organisation,
                   const std::string &Kind) const override {
    return Inner.costAhead(Organisation, Kind);
  }
  double expectedShare(const std::string &Organisation) const override {
    return Portion(Organisation);
  }
  std::vector<WaitingRequest> waiting() const override {
    return Inner.waiting();
  }
  std::size_t size() const override { return Inner.size(); }

private:
  WeightFunction Portion;
  std::size_t Connections;
  FairQueue Inner;
  std::map<std::string, std::size_t> Running;
};

} // namespace corianderdyke

#endif
