/// \file
/// Interfaces through which control queries targets and sends them orders.

#ifndef CORIANDERDYKE_STEERING_PORTS_H
#define CORIANDERDYKE_STEERING_PORTS_H

#include "Common/Millis.h"
#include "Statements/Links.h"

namespace corianderdyke {

/// A target's answer to a status query.
struct TargetStatus {
  bool IsPrimary = false;
  std::uint64_t Term = 0; ///< The newest known to the target.
  LogPosition Received;
  /// Age of the newest record that a replica has applied; 0 if not reported.
  Millis Lag = Millis(0);
  std::uint32_t Busy = 0; ///< Slots in use; 0 if not reported.

  auto operator<=>(const TargetStatus &) const = default;
};

/// Sends queries and orders to targets.
class TargetCommandPort {
public:
  using OnStatus = std::function<void(Expected<TargetStatus>)>;

  virtual ~TargetCommandPort() = default;

  /// Sends a Status, StopReceiving, ResumeReceiving or StepDown. Fails with
  /// Conflict if the target runs but has no free slot or connection, and with
  /// NotFound if nothing listens at the address. Any other error means only
  /// that no answer arrived in time; an order may still be executed.
  virtual void send(const TargetAddress &To, TargetCommand::Kind What,
                    std::uint64_t Term, Millis Timeout, OnStatus Handler) = 0;
};

/// The service that executes a change of primary.
class PromotionPort {
public:
  enum class Result : std::uint8_t {
    Accepted, ///< The target leads or is about to.
    Rejected, ///< A later order is known, or the target does not run.
    Deferred, ///< Too many requests: not executed, to be sent again.
    Unknown,  ///< No answer; the order may still be executed.
  };
  using OnResult = std::function<void(Result)>;

  virtual ~PromotionPort() = default;

  /// \p Token rises with each order; an order with a lower token than an
  /// earlier one is rejected, also if it is executed late. An order for the
  /// present primary is accepted and changes nothing else.
  virtual void promote(const std::string &Group, const std::string &Target,
                       std::uint64_t Token, OnResult Handler) = 0;
};

} // namespace corianderdyke

#endif
