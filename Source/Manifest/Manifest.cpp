/// \file
/// Lookups in a manifest, and its digest.

#include "Manifest/Manifest.h"

#include "Common/Codec.h"
#include "Common/KeyedDigest.h"

namespace corianderdyke {

namespace {

template <class T>
const T *byName(const std::vector<T> &All, const std::string &Name) {
  for (const T &Each : All)
    if (Each.Name == Name)
      return &Each;
  return nullptr;
}

} // namespace

const OrganisationPolicy *
Manifest::organisation(const std::string &Name) const {
  return byName(Organisations, Name);
}

const DatabasePolicy *Manifest::database(const std::string &Name) const {
  return byName(Databases, Name);
}

const KindPolicy *Manifest::kind(const std::string &Name) const {
  return byName(Kinds, Name);
}

std::string Manifest::digest() const { return contentDigest(encode(*this)); }

} // namespace corianderdyke
