/// \file
/// Which organisation a caller's key belongs to, at a proxy.
///
/// Proxies know keyed digests alone: a caller's key leaves neither the
/// connection that it came on nor the control hosts' plan.

#ifndef CORIANDERDYKE_ORGANISATIONS_ORGANISATIONTABLE_H
#define CORIANDERDYKE_ORGANISATIONS_ORGANISATIONTABLE_H

#include "Plan/RoutePlan.h"

#include <unordered_map>

namespace corianderdyke {

/// The digest by which proxies know \p Key; \p Secret is the processes' own.
std::string callerKeyDigest(const std::string &Secret, const std::string &Key);

/// The plan without what operators alone may read: digests stand in place of
/// the keys.
RoutePlan replaceKeysByDigests(RoutePlan Plan, const std::string &Secret);

class OrganisationTable {
public:
  OrganisationTable() = default;
  /// \p Plan is one without keys.
  explicit OrganisationTable(const RoutePlan &Plan);

  /// Whose statements a session runs on a route. Empty where the plan declares
  /// no organisations, PublicOrganisation on a public route, nothing where the
  /// plan doesn't know the key.
  std::optional<std::string>
  findOrganisation(const RoutePolicy &Route,
                   const std::string &KeyDigest) const;

private:
  bool HasOrganisations = false;
  std::unordered_map<std::string, std::string> ByDigest;
};

} // namespace corianderdyke

#endif
