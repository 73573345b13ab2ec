/// \file
/// Maps callers' keys to organisations at a proxy.
///
/// Proxies hold only keyed digests: callers' keys exist in plain text only on
/// the connections that they arrive on and in the plan at the control hosts.

#ifndef CORIANDERDYKE_ORGANISATIONS_ORGANISATIONTABLE_H
#define CORIANDERDYKE_ORGANISATIONS_ORGANISATIONTABLE_H

#include "Plan/RoutePlan.h"

#include <unordered_map>

namespace corianderdyke {

/// Returns the digest of \p Key that proxies compare; \p Secret is shared by
/// all processes.
std::string callerKeyDigest(const std::string &Secret, const std::string &Key);

/// Returns the plan without the parts that only operators may read: digests
/// replace the keys.
RoutePlan replaceKeysByDigests(RoutePlan Plan, const std::string &Secret);

class OrganisationTable {
public:
  OrganisationTable() = default;
  /// \p Plan contains digests in place of keys.
  explicit OrganisationTable(const RoutePlan &Plan);

  /// Returns the organisation of a session on \p Route: empty if the plan
  /// declares no organisations, PublicOrganisation on a public route, nothing
  /// if the plan does not contain the key.
  std::optional<std::string>
  findOrganisation(const RoutePolicy &Route,
                   const std::string &KeyDigest) const;

private:
  bool HasOrganisations = false;
  std::unordered_map<std::string, std::string> ByDigest;
};

} // namespace corianderdyke

#endif
