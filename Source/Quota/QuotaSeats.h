/// \file
/// The parts of organisations' quotas that this proxy gives out permits of.

#ifndef CORIANDERDYKE_QUOTA_QUOTASEATS_H
#define CORIANDERDYKE_QUOTA_QUOTASEATS_H

#include "Plan/RoutePlan.h"
#include "Quota/Messages.h"

#include <map>

namespace corianderdyke {

/// What operators let organisations pass beyond their quotas, in any window.
struct QuotaTolerance {
  double Fraction = 0;   ///< Of rate and burst.
  double Operations = 0; ///< Beside it.
  Millis Window = Millis(5000);

  auto operator<=>(const QuotaTolerance &) const = default;
};

/// Seats are leases: each counts from the moment when its request was sent. A
/// seat's permits come from a token bucket with the seat's part of rate and
/// burst, so that the permits of all seats in any window are within the quota.
class QuotaSeats {
public:
  explicit QuotaSeats(ProcessId Self, QuotaTolerance Tolerance = {})
      : Self(std::move(Self)), Tolerance(Tolerance) {}

  /// Limits hold at once; seats stay.
  void adopt(const RoutePlan &Plan);
  bool isLimited(const std::string &Organisation) const {
    return Limits.count(Organisation) != 0;
  }
  /// Organisations with a quota.
  std::vector<std::string> limitedOrganisations() const;

  /// How many seats of which organisations this proxy is to hold.
  void setWanted(std::map<std::string, std::uint32_t> New);
  /// True where it lacks a seat that it's to hold.
  bool lacksSeat(Millis Now) const;

  /// Gives out as many permits as there are, \p Count at most.
  PermitReply takePermits(const std::string &Organisation, std::uint32_t Count,
                          Millis Now);

  /// The next request; none where nothing is limited.
  SeatRequest request(Millis Now);
  /// Takes a grant in; one for another process, of an earlier leader or out of
  /// order is ignored. True where the next request should go out at once.
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
  /// Tokens that a seat begins with, where what its former holder gave out
  /// lately isn't known.
  double firstTokens(const std::string &Organisation) const;

  ProcessId Self;
  QuotaTolerance Tolerance;
  std::map<std::string, Quota> Limits;
  std::map<std::string, std::uint32_t> Wanted;
  std::map<QuotaSeat, Bucket> Seats;
  std::uint64_t Sequence = 0;
  std::uint64_t LeaderTerm = 0;
  std::uint64_t Nonce = 0; ///< Given by that leader.
  std::uint64_t AppliedGrant = 0;
  Millis LeaseEnd = Millis(-1);
};

} // namespace corianderdyke

#endif
