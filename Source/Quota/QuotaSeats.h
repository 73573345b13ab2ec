/// \file
/// The seats of organisations' quotas that this proxy holds and gives out
/// permits from.

#ifndef CORIANDERDYKE_QUOTA_QUOTASEATS_H
#define CORIANDERDYKE_QUOTA_QUOTASEATS_H

#include "Plan/RoutePlan.h"
#include "Quota/Messages.h"

#include <map>

namespace corianderdyke {

/// How far operators let organisations exceed their quotas, in any window.
struct QuotaTolerance {
  double Fraction = 0;   ///< Part of rate and burst.
  double Operations = 0; ///< In addition to Fraction.
  Millis Window = Millis(5000);

  auto operator<=>(const QuotaTolerance &) const = default;
};

/// Seats are leases: each lasts from the moment when its request was sent. Its
/// permits come from a token bucket with the seat's part of rate and burst, so
/// that the permits of all seats in any window are within the quota.
class QuotaSeats {
public:
  explicit QuotaSeats(ProcessId Self, QuotaTolerance Tolerance = {})
      : Self(std::move(Self)), Tolerance(Tolerance) {}

  /// Applies the limits of \p Plan at once; the seats stay.
  void adopt(const RoutePlan &Plan);
  bool isLimited(const std::string &Organisation) const {
    return Limits.count(Organisation) != 0;
  }
  /// Names of the organisations with a quota.
  std::vector<std::string> limitedOrganisations() const;

  /// Sets how many seats of each organisation this proxy should hold.
  void setWanted(std::map<std::string, std::uint32_t> New);
  /// True if this proxy lacks a seat that it should hold.
  bool lacksSeat(Millis Now) const;

  /// Gives out the available permits, \p Count at most.
  PermitReply takePermits(const std::string &Organisation, std::uint32_t Count,
                          Millis Now);

  /// Returns the next request; an empty one if nothing is limited.
  SeatRequest request(Millis Now);
  /// Applies a grant. Grants for another process, of an earlier leader or out
  /// of order are ignored. Returns true if the next request should be sent at
  /// once.
  bool apply(const SeatGrant &Grant, Millis Now);

  std::size_t held(Millis Now) const {
    return Now < LeaseEnd ? Seats.size() : 0;
  }

private:
  struct Bucket {
    double Tokens = 0;
    Millis CountedAt;
  };

  Quota limitOfSeat(const std::string &Organisation) const;
  /// Initial tokens of a seat, for which the permits that its former holder
  /// recently gave out are unknown.
  double initialTokens(const std::string &Organisation) const;

  ProcessId Self;
  QuotaTolerance Tolerance;
  std::map<std::string, Quota> Limits;
  std::map<std::string, std::uint32_t> Wanted;
  std::map<QuotaSeat, Bucket> Seats;
  std::uint64_t Sequence = 0;
  std::uint64_t LeaderTerm = 0;
  std::uint64_t Nonce = 0; ///< From the leader of LeaderTerm.
  std::uint64_t AppliedGrant = 0;
  Millis LeaseEnd = Millis(-1);
};

} // namespace corianderdyke

#endif
