/// \file
/// The order in which waiting requests of one database are sent.

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
  /// Milliseconds that it is expected to hold a connection.
  double Cost = 1;
  /// Milliseconds charged to its organisation when it was sent.
  double Charged = 0;

  auto operator<=>(const QueuedRequest &) const = default;
};

/// Returns the weight of an organisation or of a kind.
using WeightFunction = std::function<double(const std::string &Name)>;

/// Interface of the queues, so that the measurements run the baselines under
/// the same loads.
class QueueDiscipline {
public:
  using RunnablePredicate = std::function<bool(const QueuedRequest &)>;

  virtual ~QueueDiscipline() = default;

  virtual void push(QueuedRequest Request) = 0;

  /// Removes and returns the next request for which \p CanRun is true; nothing
  /// if there is none.
  virtual std::optional<QueuedRequest> pop(const RunnablePredicate &CanRun) = 0;

  /// Records that a request from pop() has held its connection for \p Spent
  /// milliseconds.
  virtual void complete(const QueuedRequest &Request, double Spent) = 0;

  /// Removes and returns the waiting request \p Id; nothing if it is not here.
  virtual std::optional<QueuedRequest> remove(std::uint64_t Id) = 0;

  /// The request to displace for a new one of \p Organisation when the queue is
  /// full; nothing if the new request itself is to be refused.
  virtual std::optional<std::uint64_t>
  displacementVictim(const std::string &Organisation) const = 0;

  /// Expected cost of the requests that are sent before a new one of
  /// \p Organisation and \p Kind.
  virtual double costAhead(const std::string &Organisation,
                           const std::string &Kind) const = 0;

  /// The fraction of the database that \p Organisation can currently expect,
  /// from 0 to 1.
  virtual double expectedShare(const std::string &Organisation) const = 0;

  /// A waiting request and the expected cost of the requests sent before it.
  struct WaitingRequest {
    QueuedRequest Request;
    double CostAhead = 0;
  };
  virtual std::vector<WaitingRequest> waiting() const = 0;

  virtual std::size_t size() const = 0;
};

} // namespace corianderdyke

#endif
