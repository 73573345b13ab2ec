/// \file
/// The ports through which control acts on targets.

#ifndef CORIANDERDYKE_STEERING_PORTS_H
#define CORIANDERDYKE_STEERING_PORTS_H

#include "Common/Millis.h"
#include "Statements/Links.h"

namespace corianderdyke {

/// What a target tells of itself when asked.
struct TargetStatus {
  bool IsPrimary = false;
  std::uint64_t Term = 0; ///< The newest that it knows.
  LogPosition Received;

  auto operator<=>(const TargetStatus &) const = default;
};

/// Asks and orders one target.
class TargetCommandPort {
public:
  using OnStatus = std::function<void(Expected<TargetStatus>)>;

  virtual ~TargetCommandPort() = default;

  /// Sends a Status, StopReceiving, ResumeReceiving or StepDown. Conflict where
  /// the target lives but has no slot or connection free, NotFound where
  /// nothing listens there. Any other error says only that no answer came in
  /// time; an order may be carried out later.
  virtual void send(const TargetAddress &To, TargetCommand::Kind What,
                    std::uint64_t Term, Millis Timeout, OnStatus Handler) = 0;
};

/// Whoever carries out a change of primary.
class PromotionPort {
public:
  enum class Result : std::uint8_t {
    Accepted, ///< The target leads within moments.
    Rejected, ///< A later order is known, or the target doesn't run.
    Unknown,  ///< No answer: it may be carried out later.
  };
  using OnResult = std::function<void(Result)>;

  virtual ~PromotionPort() = default;

  /// \p Token rises with each order; a lower one than seen is rejected.
  virtual void promote(const std::string &Group, const std::string &Target,
                       std::uint64_t Token, OnResult Handler) = 0;
};

} // namespace corianderdyke

#endif
