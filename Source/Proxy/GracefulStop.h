/// \file
/// Computes the stages of a proxy's graceful stop.

#ifndef CORIANDERDYKE_PROXY_GRACEFULSTOP_H
#define CORIANDERDYKE_PROXY_GRACEFULSTOP_H

#include "Common/Millis.h"

#include <cstddef>
#include <cstdint>

namespace corianderdyke {

/// The statements that a proxy accepts.
enum class Intake : std::uint8_t {
  Open,
  NoNewTransactions, ///< Statements are accepted until the balancer notices.
  Closed,            ///< Only statements of open transactions are accepted.
};

/// The work that a proxy still has for its callers.
struct OpenWork {
  std::size_t Statements = 0;
  std::size_t Transactions = 0;
};

/// Interrupting a statement would leave its caller with an unknown outcome, and
/// an immediate stop would fail the callers that the balancer still sends. So
/// the proxy reports that it is not ready, serves as before for a while, then
/// refuses new work and ends when nothing is left. Transactions may continue
/// for the idle timeout and are then rolled back, since a caller could hold one
/// open for ever. The stop lasts at most the longer of the two bounds plus one
/// deadline.
class GracefulStop {
public:
  /// After this long without work, the last answers have left the process.
  static constexpr Millis QuietPeriod = Millis(50);

  /// \p ReadinessDelay is how long the balancer may take to notice that the
  /// proxy is not ready.
  GracefulStop(Millis Now, Millis ReadinessDelay, Millis TransactionBound)
      : ClosesAt(Now + ReadinessDelay),
        TransactionsEndAt(Now + TransactionBound) {}

  Intake intake(Millis Now) const {
    return Now < ClosesAt ? Intake::NoNewTransactions : Intake::Closed;
  }

  /// True if open transactions are to be rolled back when they become idle.
  bool rollsBackIdleTransactions(Millis Now) const {
    return Now >= TransactionsEndAt;
  }

  /// Updates the stop with the remaining work; returns true if the process may
  /// end.
  bool update(OpenWork Remaining, Millis Now);

private:
  Millis ClosesAt;
  Millis TransactionsEndAt;
  /// The last moment at which there was work.
  Millis LastWorkAt;
};

} // namespace corianderdyke

#endif
