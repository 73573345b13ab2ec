/// \file
/// Differences between two cluster views.

#include "State/ViewDelta.h"

namespace corianderdyke {

namespace {

template <class Map, class Set>
void collectChanges(const Map &From, const Map &To, Map &Changed,
                    Set &Removed) {
  for (const auto &[Key, Value] : To) {
    const auto Before = From.find(Key);
    if (Before == From.end() || Before->second != Value)
      Changed.emplace(Key, Value);
  }
  for (const auto &[Key, Value] : From)
    if (To.count(Key) == 0)
      Removed.insert(Key);
}

template <class Map, class Set>
void applyChanges(Map &View, const Map &Changed, const Set &Removed) {
  for (const auto &[Key, Value] : Changed)
    View[Key] = Value;
  for (const auto &Key : Removed)
    View.erase(Key);
}

} // namespace

ViewDelta computeDelta(const ClusterView &From, const ClusterView &To) {
  ViewDelta Out;
  Out.Base = From.Revision;
  Out.Revision = To.Revision;
  Out.MaxLeaseDuration = To.MaxLeaseDuration;
  if (To.CurrentManifest && !From.CurrentManifest)
    Out.NewManifest = To.CurrentManifest;
  else if (To.CurrentManifest && *From.CurrentManifest != *To.CurrentManifest)
    Out.ChangedManifest =
        computeDelta(*From.CurrentManifest, *To.CurrentManifest);
  collectChanges(From.Groups, To.Groups, Out.Groups, Out.RemovedGroups);
  collectChanges(From.Targets, To.Targets, Out.Targets, Out.RemovedTargets);
  collectChanges(From.Proxies, To.Proxies, Out.Proxies, Out.RemovedProxies);
  return Out;
}

Expected<ClusterView> applyDelta(const ClusterView &View,
                                 const ViewDelta &Delta) {
  if (View.Revision != Delta.Base)
    return fail(ErrorCode::Conflict,
                "the delta applies to revision " + std::to_string(Delta.Base) +
                    ", the view is at " + std::to_string(View.Revision));
  ClusterView Out = View;
  Out.Revision = Delta.Revision;
  Out.MaxLeaseDuration = Delta.MaxLeaseDuration;
  if (Delta.NewManifest)
    Out.CurrentManifest = Delta.NewManifest;
  if (Delta.ChangedManifest) {
    auto Changed = applyDelta(View.CurrentManifest.value_or(Manifest()),
                              *Delta.ChangedManifest);
    if (!Changed)
      return tl::unexpected(Changed.error());
    Out.CurrentManifest = std::move(*Changed);
  }
  applyChanges(Out.Groups, Delta.Groups, Delta.RemovedGroups);
  applyChanges(Out.Targets, Delta.Targets, Delta.RemovedTargets);
  applyChanges(Out.Proxies, Delta.Proxies, Delta.RemovedProxies);
  return Out;
}

} // namespace corianderdyke
