/// \file
/// Finds routes and groups of a plan by name. Lookups run for each statement
/// and each change of a target, with hundreds of groups.

#ifndef CORIANDERDYKE_PLAN_PLANINDEX_H
#define CORIANDERDYKE_PLAN_PLANINDEX_H

#include "Plan/RoutePlan.h"

#include <unordered_map>

namespace corianderdyke {

/// Holds a plan. Pointers that it returns are valid until the next set().
class PlanIndex {
public:
  void set(RoutePlan New) {
    Plan = std::move(New);
    Routes.clear();
    Groups.clear();
    // The first entry of a name counts, as in the plan.
    for (const RoutePolicy &Each : Plan.Routes)
      Routes.emplace(Each.Database, &Each);
    for (const GroupPolicy &Each : Plan.Groups)
      Groups.emplace(Each.Name, &Each);
  }

  PlanIndex() = default;
  PlanIndex(const PlanIndex &) = delete;
  PlanIndex &operator=(const PlanIndex &) = delete;

  const RoutePlan &plan() const { return Plan; }
  const RoutePolicy *route(const std::string &Database) const {
    return find(Routes, Database);
  }
  const GroupPolicy *group(const std::string &Name) const {
    return find(Groups, Name);
  }

private:
  template <class Policy>
  static const Policy *
  find(const std::unordered_map<std::string, const Policy *> &ByName,
       const std::string &Name) {
    const auto Found = ByName.find(Name);
    return Found == ByName.end() ? nullptr : Found->second;
  }

  RoutePlan Plan;
  std::unordered_map<std::string, const RoutePolicy *> Routes;
  std::unordered_map<std::string, const GroupPolicy *> Groups;
};

} // namespace corianderdyke

#endif
