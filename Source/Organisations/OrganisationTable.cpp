/// \file
/// Maps callers' keys to organisations at a proxy.

#include "Organisations/OrganisationTable.h"

#include "Common/Cryptography.h"

namespace corianderdyke {

std::string callerKeyDigest(const std::string &Secret, const std::string &Key) {
  return truncatedHmac(Secret, "caller key " + Key);
}

RoutePlan replaceKeysByDigests(RoutePlan Plan, const std::string &Secret) {
  Plan.Document.clear();
  for (PlannedOrganisation &Each : Plan.Organisations) {
    Each.KeyDigests.reserve(Each.Keys.size());
    for (const std::string &Key : Each.Keys)
      Each.KeyDigests.push_back(callerKeyDigest(Secret, Key));
    Each.Keys.clear();
  }
  return Plan;
}

OrganisationTable::OrganisationTable(const RoutePlan &Plan)
    : HasOrganisations(!Plan.Organisations.empty()) {
  for (const PlannedOrganisation &Each : Plan.Organisations)
    for (const std::string &Digest : Each.KeyDigests)
      ByDigest[Digest] = Each.Name;
}

std::optional<std::string>
OrganisationTable::findOrganisation(const RoutePolicy &Route,
                                    const std::string &KeyDigest) const {
  if (!HasOrganisations)
    return std::string();
  if (Route.IsPublic)
    return PublicOrganisation;
  const auto Found = ByDigest.find(KeyDigest);
  if (Found == ByDigest.end())
    return std::nullopt;
  return Found->second;
}

} // namespace corianderdyke
