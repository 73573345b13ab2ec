/// \file
/// The difference between a manifest and a later one.

#include "Manifest/ManifestDelta.h"

#include <map>

namespace corianderdyke {

namespace {

template <class T>
std::map<std::string, T> indexByName(const std::vector<T> &Items) {
  std::map<std::string, T> Out;
  for (const T &Each : Items)
    Out.emplace(Each.Name, Each);
  return Out;
}

template <class T>
ItemChanges<T> diffItems(const std::vector<T> &From, const std::vector<T> &To) {
  ItemChanges<T> Out;
  std::map<std::string, T> OldItems = indexByName(From);
  for (const T &Each : To) {
    const auto OldItem = OldItems.extract(Each.Name);
    if (OldItem.empty() || OldItem.mapped() != Each)
      Out.Changed.push_back(Each);
  }
  for (const auto &[Name, Each] : OldItems)
    Out.Removed.push_back(Name);
  return Out;
}

/// Applies \p Changes to \p Base. The result is sorted by name, as all lists of
/// a manifest are.
template <class T>
std::vector<T> applyChanges(const std::vector<T> &Base,
                            const ItemChanges<T> &Changes) {
  std::map<std::string, T> Items = indexByName(Base);
  for (const T &Each : Changes.Changed)
    Items.insert_or_assign(Each.Name, Each);
  for (const std::string &Name : Changes.Removed)
    Items.erase(Name);
  std::vector<T> Out;
  Out.reserve(Items.size());
  for (auto &[Name, Each] : Items)
    Out.push_back(std::move(Each));
  return Out;
}

} // namespace

ManifestDelta computeDelta(const Manifest &From, const Manifest &To) {
  return {To.Version,
          To.digest(),
          diffItems(From.Organisations, To.Organisations),
          diffItems(From.Databases, To.Databases),
          diffItems(From.Kinds, To.Kinds),
          To.Limits,
          To.Failover};
}

Expected<Manifest> applyDelta(const Manifest &Base,
                              const ManifestDelta &Delta) {
  Manifest Out{Delta.Version,
               applyChanges(Base.Organisations, Delta.Organisations),
               applyChanges(Base.Databases, Delta.Databases),
               applyChanges(Base.Kinds, Delta.Kinds),
               Delta.Limits,
               Delta.Failover};
  if (Out.digest() != Delta.Digest)
    return fail(
        ErrorCode::Conflict,
        "applying the delta yields a manifest whose digest differs from "
        "that of the delta");
  return Out;
}

} // namespace corianderdyke
