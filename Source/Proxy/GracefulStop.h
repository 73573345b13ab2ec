/// \file
/// Decides the steps of a proxy's planned stop.

#ifndef CORIANDERDYKE_PROXY_GRACEFULSTOP_H
#define CORIANDERDYKE_PROXY_GRACEFULSTOP_H

#include "Common/Millis.h"

#include <cstddef>
#include <cstdint>

namespace corianderdyke {

/// What a proxy takes in.
enum class Intake : std::uint8_t {
  Open,
  NoNewTransactions, ///< Statements still, until the balancer has noticed.
  Closed,            ///< Only what is here, and what its transactions send.
};

/// What a proxy still has to do for its callers.
struct OpenWork {
  std::size_t Statements = 0;
  std::size_t Transactions = 0;
};

/// A stop that cut a statement would leave its caller with an unknown
/// outcome, and one at once would cut the callers whom the balancer still
/// sends. So the proxy isn't ready from the first moment, serves for a while
/// as before, then refuses what is new and ends when nothing is left.
/// Transactions may go on for as long as they may idle; then they are rolled
/// back, since a caller could hold one open for ever. The stop lasts at most
/// the longer of the two bounds and one deadline.
class GracefulStop {
public:
  /// Without work for this long the last answers have left the process.
  static constexpr Millis QuietPeriod = Millis(50);

  /// \p ReadinessDelay is how long the balancer may take to see that the proxy
  /// isn't ready.
  GracefulStop(Millis Now, Millis ReadinessDelay, Millis TransactionBound)
      : ClosesAt(Now + ReadinessDelay),
        TransactionsEndAt(Now + TransactionBound) {}

  Intake intake(Millis Now) const {
    return Now < ClosesAt ? Intake::NoNewTransactions : Intake::Closed;
  }

  /// True when open transactions are to be rolled back as they fall idle.
  bool rollsBackIdleTransactions(Millis Now) const {
    return Now >= TransactionsEndAt;
  }

  /// Takes in what is open; true once the process may end.
  bool update(OpenWork Left, Millis Now);

private:
  Millis ClosesAt;
  Millis TransactionsEndAt;
  /// The last moment at which there was work.
  Millis LastWork;
};

} // namespace corianderdyke

#endif
