/// \file
/// Who is next: the order in which waiting requests of one database are sent.

#ifndef CORIANDERDYKE_ADMISSION_QUEUEDISCIPLINE_H
#define CORIANDERDYKE_ADMISSION_QUEUEDISCIPLINE_H

#include "Common/Millis.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace corianderdyke {

/// A request that waits for a connection.
struct QueuedRequest {
  std::uint64_t Id = 0;
  std::string Organisation;
  std::string Kind;
  Millis ArrivedAt;
  Millis DeadlineAt;
  /// Milliseconds that it's expected to hold a connection.
  double Cost = 1;
  /// What its organisation was charged for it when it was sent.
  double Charged = 0;

  auto operator<=>(const QueuedRequest &) const = default;
};

/// The weight of an organisation, or of one of its kinds.
using WeightFunction = std::function<double(const std::string &Name)>;

/// Abstract, so that the experiment runs the baselines on the same loads.
class QueueDiscipline {
public:
  using RunnablePredicate = std::function<bool(const QueuedRequest &)>;

  virtual ~QueueDiscipline() = default;

  virtual void push(QueuedRequest Request) = 0;

  /// Takes out the next request that \p CanRun; nothing where none can.
  virtual std::optional<QueuedRequest> pop(const RunnablePredicate &CanRun) = 0;

  /// A request that pop() gave has held its connection for \p Spent.
  virtual void complete(const QueuedRequest &Request, double Spent) = 0;

  /// Takes out a request that nobody waits for any more.
  virtual std::optional<QueuedRequest> remove(std::uint64_t Id) = 0;

  /// The request that gives way to one of \p Organisation when the queue is
  /// full; nothing where the newcomer itself is the one to refuse.
  virtual std::optional<std::uint64_t>
  displacementVictim(const std::string &Organisation) const = 0;

  /// Expected cost of what is sent before a newcomer of this organisation
  /// and kind.
  virtual double costAhead(const std::string &Organisation,
                           const std::string &Kind) const = 0;

  /// The part of the database that an organisation can count on now, from 0
  /// to 1.
  virtual double expectedShare(const std::string &Organisation) const = 0;

  /// Every waiting request with the expected cost of what is sent before it.
  struct WaitingRequest {
    QueuedRequest Request;
    double CostAhead = 0;
  };
  virtual std::vector<WaitingRequest> waiting() const = 0;

  virtual std::size_t size() const = 0;
};

} // namespace corianderdyke

#endif
