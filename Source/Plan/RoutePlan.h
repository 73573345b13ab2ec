/// \file
/// Routes, database groups and organisations that operators declare, under a
/// version.

#ifndef CORIANDERDYKE_PLAN_ROUTEPLAN_H
#define CORIANDERDYKE_PLAN_ROUTEPLAN_H

#include "Common/Error.h"
#include "Common/Finding.h"
#include "Common/Millis.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace corianderdyke {

/// Which commits a read must see.
enum class Freshness : std::uint8_t {
  Primary,          ///< Any commit acknowledged before the read.
  BoundedStaleness, ///< Any acknowledged longer ago than the accepted age.
  ReadYourWrites, ///< As BoundedStaleness, and any commit of the same session.
};

/// How statements to one database name are served.
struct RoutePolicy {
  std::string Name;
  std::string Database; ///< As callers name it.
  std::string Prefix;
  Freshness Reads = Freshness::Primary;
  Millis MaxStaleness;        ///< Of reads; not for Primary.
  Millis StatementTimeout;    ///< Of one statement.
  Millis Objective;           ///< Of a whole operation.
  std::uint32_t Priority = 0; ///< 0 is the highest.
  std::string Group;
  std::uint32_t MaxAttempts = 1;
  bool IsPublic = false; ///< Callers need no key.

  auto operator<=>(const RoutePolicy &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Name, Database, Prefix, Reads, MaxStaleness, StatementTimeout, Objective,
       Priority, Group, MaxAttempts, IsPublic);
  }
};

struct GroupPolicy {
  std::string Name;
  /// Limit of one target for all its clients together.
  std::uint32_t MaxConnections = 0;
  /// Replicas that hold a commit before it is acknowledged.
  std::uint32_t SyncReplicas = 0;

  /// Connections to a target that all proxies together may hold, at least one.
  std::size_t usableConnections() const {
    return std::max<std::size_t>(MaxConnections, ReservedConnections + 1) -
           ReservedConnections;
  }

  /// Reserved for control, and for closed connections that the target still
  /// counts.
  static constexpr std::size_t ReservedConnections = 2;

  auto operator<=>(const GroupPolicy &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Name, MaxConnections, SyncReplicas);
  }
};

/// Limit for the operations that an organisation may begin at all proxies
/// together.
struct Quota {
  double PerSecond = 0;
  double Burst = 0; ///< Operations that may begin at once beyond the rate.

  auto operator<=>(const Quota &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(PerSecond, Burst); }
};

/// Stands for the organisation of callers of public routes.
constexpr const char *PublicOrganisation = "-";

/// A customer, identified by the keys with which its callers open sessions.
struct PlannedOrganisation {
  std::string Name;
  /// The declared keys, at control hosts only; empty at proxies.
  std::vector<std::string> Keys;
  /// Keyed digests of the keys, at proxies only.
  std::vector<std::string> KeyDigests;
  std::uint32_t Priority = 0;
  std::optional<Quota> Limit; ///< Empty if not limited.

  auto operator<=>(const PlannedOrganisation &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Name, Keys, KeyDigests, Priority, Limit);
  }
};

struct RoutePlan {
  std::uint64_t Version = 0; ///< 0: no plan was accepted yet.
  std::vector<RoutePolicy> Routes;
  std::vector<GroupPolicy> Groups;
  /// Empty: callers need no key, and no organisation is sent to targets.
  std::vector<PlannedOrganisation> Organisations;
  Millis TransactionIdleTimeout = Millis(3000);
  /// The operator's original document, for display.
  std::string Document;

  Millis longestObjective() const {
    Millis Out;
    for (const RoutePolicy &Each : Routes)
      Out = std::max(Out, Each.Objective);
    return Out;
  }

  std::set<std::string> groupNames() const {
    std::set<std::string> Out;
    for (const GroupPolicy &Each : Groups)
      Out.insert(Each.Name);
    return Out;
  }

  bool operator==(const RoutePlan &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Version, Routes, Groups, Organisations, TransactionIdleTimeout,
       Document);
  }
};

/// Returns all reasons why \p Plan is not valid; empty if it is valid.
std::vector<std::string> validationErrors(const RoutePlan &Plan);

} // namespace corianderdyke

#endif
