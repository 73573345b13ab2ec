/// \file
/// What changed from one manifest to a later one.

#include "Manifest/ManifestDelta.h"

#include <map>

namespace corianderdyke {

namespace {

template <class T>
std::map<std::string, T> byName(const std::vector<T> &Items) {
  std::map<std::string, T> Out;
  for (const T &Each : Items)
    Out.emplace(Each.Name, Each);
  return Out;
}

template <class T>
ItemChanges<T> compare(const std::vector<T> &From, const std::vector<T> &To) {
  ItemChanges<T> Out;
  std::map<std::string, T> Former = byName(From);
  for (const T &Each : To) {
    const auto Before = Former.extract(Each.Name);
    if (Before.empty() || Before.mapped() != Each)
      Out.Changed.push_back(Each);
  }
  for (const auto &[Name, Each] : Former)
    Out.Removed.push_back(Name);
  return Out;
}

/// The result is sorted by name, as every manifest's lists are.
template <class T>
std::vector<T> change(const std::vector<T> &Base, const ItemChanges<T> &By) {
  std::map<std::string, T> Items = byName(Base);
  for (const T &Each : By.Changed)
    Items.insert_or_assign(Each.Name, Each);
  for (const std::string &Name : By.Removed)
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
          compare(From.Organisations, To.Organisations),
          compare(From.Databases, To.Databases),
          compare(From.Kinds, To.Kinds),
          To.Limits,
          To.Failover};
}

Expected<Manifest> applyDelta(const Manifest &Base,
                              const ManifestDelta &Delta) {
  Manifest Out{Delta.Version,
               change(Base.Organisations, Delta.Organisations),
               change(Base.Databases, Delta.Databases),
               change(Base.Kinds, Delta.Kinds),
               Delta.Limits,
               Delta.Failover};
  if (Out.digest() != Delta.Digest)
    return fail(ErrorCode::Conflict,
                "the manifest that a delta makes has another digest");
  return Out;
}

} // namespace corianderdyke
