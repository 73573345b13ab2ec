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
#include <string>
#include <vector>

namespace corianderdyke {

/// What a read must not miss.
enum class Freshness : std::uint8_t {
  Primary,        ///< Any commit acknowledged before the read.
  Bounded,        ///< Any acknowledged longer ago than the accepted age.
  ReadYourWrites, ///< As Bounded, and any commit of the same session.
};

/// How statements to one database name are served.
struct RoutePolicy {
  std::string Name;
  std::string Database; ///< As callers name it.
  std::string Prefix;
  Freshness Reads = Freshness::Primary;
  Millis AcceptedAge;         ///< Of reads; not for Primary.
  Millis StatementTimeout;    ///< Of one statement.
  Millis Objective;           ///< Of a whole operation.
  std::uint32_t Priority = 0; ///< 0 is the highest.
  std::string Group;
  std::uint32_t MaxAttempts = 1;

  auto operator<=>(const RoutePolicy &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Name, Database, Prefix, Reads, AcceptedAge, StatementTimeout, Objective,
       Priority, Group, MaxAttempts);
  }
};

struct GroupPolicy {
  std::string Name;
  std::uint32_t MaxConnections = 0; ///< A target's, from all sides together.
  std::uint32_t SyncReplicas = 0;   ///< That hold a commit before its answer.

  /// Connections to a target that all proxies may hold together, one at least.
  std::size_t usableConnections() const {
    return std::max<std::size_t>(MaxConnections, SpareConnections + 1) -
           SpareConnections;
  }

  /// Left for control, and for those that the target hasn't noticed to be
  /// closed.
  static constexpr std::size_t SpareConnections = 2;

  auto operator<=>(const GroupPolicy &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Name, MaxConnections, SyncReplicas);
  }
};

struct RoutePlan {
  std::uint64_t Version = 0; ///< 0: none was ever accepted.
  std::vector<RoutePolicy> Routes;
  std::vector<GroupPolicy> Groups;
  Millis TransactionIdle = Millis(3000);
  /// The operator's own document, to be shown again in full.
  std::string Document;

  auto operator<=>(const RoutePlan &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Version, Routes, Groups, TransactionIdle, Document);
  }

  const RoutePolicy *route(const std::string &Database) const;
  const GroupPolicy *group(const std::string &Name) const;
};

/// All that keeps a plan from being accepted; empty where nothing does.
std::vector<std::string> faultsOf(const RoutePlan &Plan);

} // namespace corianderdyke

#endif
