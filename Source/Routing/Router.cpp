/// \file
/// Chooses the target of a statement.

#include "Routing/Router.h"

namespace corianderdyke {

namespace {

bool isFreshEnough(const TargetTable &Table, const std::string &Target,
                   const GroupRecord &Group, const RouteQuery &Query,
                   Millis Now) {
  const auto Age = Table.age(Target, Group, Now);
  if (!Age || *Age > Query.AcceptedAge)
    return false;
  const auto Seen = Table.lastObservation(Target);
  return !Query.Floor || (Seen && Seen->Position >= Query.Floor->Position);
}

} // namespace

Expected<Route> route(const ClusterView &View, const TargetTable &Table,
                      const RouteQuery &Query, const LoadFunction &Load,
                      Millis Now) {
  const GroupRecord *Group = View.group(Query.Database);
  if (Group == nullptr || !View.CurrentManifest)
    return fail(ErrorCode::NotFound, "no database '" + Query.Database + "'");
  if (Query.Floor && Query.Floor->Term > Group->Term)
    return fail(ErrorCode::Unavailable,
                "the session has seen a later term than this proxy");
  if (Query.Floor &&
      !Group->containsPosition(Query.Floor->Term, Query.Floor->Position))
    return fail(ErrorCode::Conflict, "the session's last write to '" +
                                         Query.Database +
                                         "' was lost in a failover");
  const std::uint64_t Floor = Query.Floor ? Query.Floor->Position : 0;
  std::optional<Route> Best;
  std::size_t BestLoad = 0;
  if (Query.Mode == Access::Read && !Query.PrimaryOnly) {
    for (const TargetAnnouncement &Each : View.targetsOf(Query.Database)) {
      if (Each.Name == Group->Primary ||
          Query.ExcludedTargets.count(Each.Name) != 0 ||
          !Table.isReachable(
              Each.Name, View.CurrentManifest->Failover.SuspectAfter, Now) ||
          !isFreshEnough(Table, Each.Name, *Group, Query, Now))
        continue;
      const std::size_t EachLoad = Load(Each.Name);
      if (Best && BestLoad <= EachLoad)
        continue;
      Best = Route{Each.Name, false, Group->Term, Floor};
      BestLoad = EachLoad;
    }
  }
  if (Best)
    return *Best;
  if (!Group->isWritable())
    return fail(ErrorCode::Unavailable,
                "'" + Query.Database + "' has no primary at the moment");
  return Route{Group->Primary, true, Group->Term, Floor};
}

} // namespace corianderdyke
