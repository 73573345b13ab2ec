/// \file
/// What operators declare about routes and database groups, under a version.

#ifndef CORIANDERDYKE_PLAN_ROUTEPLAN_H
#define CORIANDERDYKE_PLAN_ROUTEPLAN_H

#include "Common/Error.h"
#include "Common/Finding.h"
#include "Common/Millis.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace corianderdyke {

/// What a read must not miss.
enum class Freshness : std::uint8_t {
  Primary,          ///< Any commit acknowledged before the read.
  BoundedStaleness, ///< Any acknowledged longer ago than the accepted age.
  ReadYourWrites,   ///< As Bounded, and any commit of the same session.
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
  std::uint32_t MaxConnections = 0; ///< A target's, from all sides together.
  std::uint32_t SyncReplicas = 0;   ///< That hold a commit before its answer.

  /// Connections to a target that all proxies may hold together, one at least.
  std::size_t usableConnections() const {
    return std::max<std::size_t>(MaxConnections, ReservedConnections + 1) -
           ReservedConnections;
  }

  /// Left for control, and for those that the target hasn't noticed to be
  /// closed.
  static constexpr std::size_t ReservedConnections = 2;

  auto operator<=>(const GroupPolicy &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Name, MaxConnections, SyncReplicas);
  }
};

/// How many operations an organisation may begin, over all proxies.
struct Quota {
  double PerSecond = 0;
  double Burst = 0; ///< Operations beyond the rate at one moment.

  auto operator<=>(const Quota &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(PerSecond, Burst); }
};

/// In place of an organisation, for callers of public routes.
constexpr const char *PublicOrganisation = "-";

/// A customer, known by the keys that its callers open sessions with.
struct PlannedOrganisation {
  std::string Name;
  /// As declared, at control hosts alone; empty at proxies.
  std::vector<std::string> Keys;
  /// Keyed digests of the keys, at proxies alone.
  std::vector<std::string> KeyDigests;
  std::uint32_t Priority = 0;
  std::optional<Quota> Limit; ///< Nothing where it isn't limited.

  auto operator<=>(const PlannedOrganisation &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Name, Keys, KeyDigests, Priority, Limit);
  }
};

struct RoutePlan {
  std::uint64_t Version = 0; ///< 0: none was ever accepted.
  std::vector<RoutePolicy> Routes;
  std::vector<GroupPolicy> Groups;
  /// Empty: callers need no key, and targets are told of no organisation.
  std::vector<PlannedOrganisation> Organisations;
  Millis TransactionIdleTimeout = Millis(3000);
  /// The operator's own document, to be shown again in full.
  std::string Document;

  bool operator==(const RoutePlan &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Version, Routes, Groups, Organisations, TransactionIdleTimeout,
       Document);
  }
};

/// All that keeps a plan from being accepted; empty where nothing does.
std::vector<std::string> validationErrors(const RoutePlan &Plan);

} // namespace corianderdyke

#endif
