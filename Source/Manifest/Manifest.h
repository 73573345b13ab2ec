/// \file
/// The configuration that operators declare: organisations, databases, kinds of
/// request, limits and failover policy.

#ifndef CORIANDERDYKE_MANIFEST_MANIFEST_H
#define CORIANDERDYKE_MANIFEST_MANIFEST_H

#include "Common/Millis.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace corianderdyke {

/// An organisation and its share of scarce resources.
struct OrganisationPolicy {
  std::string Name;
  std::uint32_t Weight = 1; ///< Relative to the other organisations.

  auto operator<=>(const OrganisationPolicy &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Name, Weight); }
};

/// What a failover does if too few targets are left to prove that no
/// acknowledged write is lost.
enum class InsufficientTargetsPolicy : std::uint8_t {
  Wait, ///< Writes are suspended until enough targets are available again.
  PromoteWithLoss ///< Promotes the best remaining target; the audit trail
                  ///< records it.
};

struct DatabasePolicy {
  std::string Name;
  std::uint32_t Targets = 3;               ///< Number of targets in the group.
  std::uint32_t AcknowledgedCopies = 2;    ///< Targets that must hold a write
                                           ///< before it is acknowledged.
  std::uint32_t ConnectionsPerTarget = 16; ///< Connection limit of the server.
  std::uint32_t SlotsPerTarget = 2;        ///< Concurrent statements.
  InsufficientTargetsPolicy InsufficientTargets =
      InsufficientTargetsPolicy::Wait;

  auto operator<=>(const DatabasePolicy &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Name, Targets, AcknowledgedCopies, ConnectionsPerTarget, SlotsPerTarget,
       InsufficientTargets);
  }
};

enum class Access : std::uint8_t { Read, Write };

/// A kind of request, which the caller names in a header.
struct RequestKindPolicy {
  std::string Name;
  Access Mode = Access::Read;
  bool Idempotent = true; ///< If false, a request runs at most once and
                          ///< needs an idempotency key.
  Millis MaxStaleness;    ///< Reads only: maximum age of the data.
  Millis Deadline = Millis(5000);
  std::uint32_t Weight = 1; ///< Relative to the organisation's other kinds.

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
  /// A target from which nothing is received for this long is considered
  /// failed.
  Millis SuspectAfter = Millis(400);
  /// How long a proxy may acknowledge statements after its last lease request.
  Millis LeaseDuration = Millis(600);
  /// Maximum drift of the clock of a host, in parts per million.
  std::uint32_t ClockDriftPpm = 1000;

  auto operator<=>(const FailoverPolicy &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(SuspectAfter, LeaseDuration, ClockDriftPpm);
  }
};

/// A complete manifest. The lists are sorted by name, so that files with the
/// same content in a different order yield equal manifests.
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
