/// \file
/// Routes, database groups and organisations that operators declare, under a
/// version.

#include "Plan/RoutePlan.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>

namespace corianderdyke {

namespace {

/// True if \p Text can be sent as one word of a line, as names and keys are.
bool isWord(const std::string &Text) {
  return !Text.empty() &&
         std::none_of(Text.begin(), Text.end(), [](unsigned char Each) {
           return std::isspace(Each) != 0 || std::iscntrl(Each) != 0;
         });
}

void findOrganisationFaults(const std::vector<PlannedOrganisation> &All,
                            std::vector<std::string> &Out) {
  std::set<std::string> Names;
  std::map<std::string, std::string> Holders; // By key.
  for (const PlannedOrganisation &Each : All) {
    const std::string Where = "organisation '" + Each.Name + "': ";
    if (!isWord(Each.Name) || Each.Name == PublicOrganisation)
      Out.push_back(Where + "the name must be one word other than '" +
                    PublicOrganisation + "'");
    if (!Names.insert(Each.Name).second)
      Out.push_back(Where + "the name is used twice");
    if (Each.Limit && (Each.Limit->PerSecond < 0 || Each.Limit->Burst < 0))
      Out.push_back(Where + "rate and burst must not be negative");
    for (const std::string &Key : Each.Keys) {
      // The message omits the key because it is logged.
      if (!isWord(Key))
        Out.push_back(Where + "a key must be one word");
      const auto [Holder, IsNew] = Holders.emplace(Key, Each.Name);
      if (!IsNew && Holder->second != Each.Name)
        Out.push_back(Where + "a key belongs to organisation '" +
                      Holder->second + "' too");
    }
  }
}

} // namespace

std::vector<std::string> validationErrors(const RoutePlan &Plan) {
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
  findOrganisationFaults(Plan.Organisations, Out);
  return Out;
}

} // namespace corianderdyke
