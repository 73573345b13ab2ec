/// \file
/// What operators declare: organisations, databases, kinds of request,
/// limits and failover policy.

#ifndef CORIANDERDYKE_MANIFEST_MANIFEST_H
#define CORIANDERDYKE_MANIFEST_MANIFEST_H

#include "Common/Millis.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace corianderdyke {

/// A customer, and its part of what is scarce.
struct OrganisationPolicy {
  std::string Name;
  std::uint32_t Weight = 1; ///< Weight against the other organisations.

  auto operator<=>(const OrganisationPolicy &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Name, Weight); }
};

/// What happens when too few targets are left to prove that nothing
/// acknowledged is lost.
enum class InsufficientTargetsPolicy : std::uint8_t {
  Wait,           ///< Writes stand still until enough targets are back.
  PromoteWithLoss ///< The best one left takes over; the audit trail says so.
};

struct DatabasePolicy {
  std::string Name;
  std::uint32_t Targets = 3;               ///< Targets that the group has.
  std::uint32_t AcknowledgedCopies = 2;    ///< Targets that hold a write
                                           ///< before it's acknowledged.
  std::uint32_t ConnectionsPerTarget = 16; ///< The server's own limit.
  std::uint32_t SlotsPerTarget = 2;        ///< Statements run at a time.
  InsufficientTargetsPolicy InsufficientTargets =
      InsufficientTargetsPolicy::Wait;

  auto operator<=>(const DatabasePolicy &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Name, Targets, AcknowledgedCopies, ConnectionsPerTarget, SlotsPerTarget,
       InsufficientTargets);
  }
};

enum class Access : std::uint8_t { Read, Write };

/// A kind of request, named by the caller in a header.
struct RequestKindPolicy {
  std::string Name;
  Access Mode = Access::Read;
  bool Idempotent = true; ///< False: runs at most once; needs a key.
  Millis MaxStaleness;    ///< Reads: how old the data may be.
  Millis Deadline = Millis(5000);
  std::uint32_t Weight = 1; ///< Against the organisation's other kinds.

  auto operator<=>(const RequestKindPolicy &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Name, Mode, Idempotent, MaxStaleness, Deadline, Weight);
  }
};

struct LimitPolicy {
  std::uint32_t QueuePerDatabase = 200;
  Millis TransactionIdleTimeout = Millis(5000);
  Millis IdempotencyKeyRetention = Millis(86400000);

  auto operator<=>(const LimitPolicy &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(QueuePerDatabase, TransactionIdleTimeout, IdempotencyKeyRetention);
  }
};

struct FailoverPolicy {
  /// A target that answers nothing for this long is taken for failed.
  Millis SuspectAfter = Millis(400);
  /// How long a proxy may acknowledge after its last lease request.
  Millis LeaseDuration = Millis(600);
  /// The most that one host's clock runs fast or slow, in parts a million.
  std::uint32_t ClockDriftPpm = 1000;

  auto operator<=>(const FailoverPolicy &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(SuspectAfter, LeaseDuration, ClockDriftPpm);
  }
};

/// The whole of it. The lists are sorted by name, so that two files which
/// say the same in another order are the same manifest.
struct Manifest {
  std::uint64_t Version = 0;
  std::vector<OrganisationPolicy> Organisations;
  std::vector<DatabasePolicy> Databases;
  std::vector<RequestKindPolicy> Kinds;
  LimitPolicy Limits;
  FailoverPolicy Failover;

  auto operator<=>(const Manifest &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Version, Organisations, Databases, Kinds, Limits, Failover);
  }

  const OrganisationPolicy *organisation(const std::string &Name) const;
  const DatabasePolicy *database(const std::string &Name) const;
  const RequestKindPolicy *kind(const std::string &Name) const;

  /// SHA-256 of the canonical content, in hexadecimal.
  std::string digest() const;
};

} // namespace corianderdyke

#endif
