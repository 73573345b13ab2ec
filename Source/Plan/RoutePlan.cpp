/// \file
/// What operators declare about routes and database groups, under a version.

#include "Plan/RoutePlan.h"

#include <algorithm>
#include <set>

namespace corianderdyke {

namespace {

template <class T, class Member>
const T *find(const std::vector<T> &All, Member Field,
              const std::string &Wanted) {
  const auto Found = std::find_if(All.begin(), All.end(), [&](const T &Each) {
    return Each.*Field == Wanted;
  });
  return Found == All.end() ? nullptr : &*Found;
}

} // namespace

const RoutePolicy *RoutePlan::route(const std::string &Database) const {
  return find(Routes, &RoutePolicy::Database, Database);
}

const GroupPolicy *RoutePlan::group(const std::string &Name) const {
  return find(Groups, &GroupPolicy::Name, Name);
}

std::vector<std::string> faultsOf(const RoutePlan &Plan) {
  std::vector<std::string> Out;
  if (Plan.Version == 0)
    Out.emplace_back("the version must be 1 or more");
  std::set<std::string> Groups;
  for (const GroupPolicy &Each : Plan.Groups)
    if (!Groups.insert(Each.Name).second)
      Out.push_back("group '" + Each.Name + "' is declared twice");
  std::set<std::pair<std::string, std::string>> Keys;
  std::set<std::string> Names;
  for (const RoutePolicy &Each : Plan.Routes) {
    const std::string Where = "route '" + Each.Name + "': ";
    if (!Names.insert(Each.Name).second)
      Out.push_back(Where + "the name is used twice");
    if (!Keys.insert({Each.Database, Each.Prefix}).second)
      Out.push_back(Where + "another route has database '" + Each.Database +
                    "' too");
    if (Groups.count(Each.Group) == 0)
      Out.push_back(Where + "group '" + Each.Group + "' isn't declared");
    if (Each.StatementTimeout <= Millis(0))
      Out.push_back(Where + "the statement timeout must be over 0 ms");
  }
  return Out;
}

} // namespace corianderdyke
