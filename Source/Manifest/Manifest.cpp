/// \file
/// Lookups in a manifest and its digest.

#include "Manifest/Manifest.h"

#include "Common/Codec.h"
#include "Common/Cryptography.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// Finds an item by binary search: the lists are sorted by name.
template <class T>
const T *findByName(const std::vector<T> &All, const std::string &Name) {
  const auto Found = std::lower_bound(
      All.begin(), All.end(), Name,
      [](const T &Each, const std::string &Key) { return Each.Name < Key; });
  return Found == All.end() || Found->Name != Name ? nullptr : &*Found;
}

} // namespace

const OrganisationPolicy *
Manifest::organisation(const std::string &Name) const {
  return findByName(Organisations, Name);
}

const DatabasePolicy *Manifest::database(const std::string &Name) const {
  return findByName(Databases, Name);
}

const RequestKindPolicy *Manifest::kind(const std::string &Name) const {
  return findByName(Kinds, Name);
}

std::string Manifest::digest() const { return sha256Hex(encode(*this)); }

} // namespace corianderdyke
