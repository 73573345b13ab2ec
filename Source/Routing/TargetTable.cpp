/// \file
/// What a proxy knows of the targets: reach, terms, positions and ages.

#include "Routing/TargetTable.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr std::size_t MaxSamples = 512;
/// Samples closer than this are left out. That only makes ages look higher.
constexpr Millis SampleSpacing(5);

/// Answers on two connections may cross. A life of a target never goes back
/// in term, and once its log has entries of its term, neither in position.
/// Before that it may: a former primary that was fenced drops the tail that
/// the group didn't keep when it begins to follow.
bool isOlder(const TargetSighting &New, const TargetSighting &Known) {
  if (New.Term != Known.Term)
    return New.Term < Known.Term;
  if (Known.LogTerm < Known.Term)
    return false;
  return New.LogTerm < New.Term || New.Position < Known.Position;
}

} // namespace

void TargetTable::update(const ClusterView &View, Millis Now) {
  for (auto Each = Targets.begin(); Each != Targets.end();)
    Each = View.Targets.count(Each->first) == 0 ? Targets.erase(Each)
                                                : std::next(Each);
  for (const auto &[Name, Target] : View.Targets) {
    const auto [Entry, New] = Targets.try_emplace(Name);
    // A new announcement is a new life: it may have lost its log.
    if (!New && Entry->second.Sequence != Target.Sequence)
      Entry->second = Known{};
    if (New || Entry->second.Sequence != Target.Sequence)
      Entry->second.LastAnswer = Now;
    Entry->second.Database = Target.Database;
    Entry->second.Sequence = Target.Sequence;
  }
}

void TargetTable::observe(const std::string &Target, const TargetSighting &Seen,
                          Millis AskedAt, Millis Now) {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return;
  Known &Entry = Found->second;
  Entry.Refused = false;
  Entry.LastAnswer = std::max(Entry.LastAnswer, Now);
  if (!Entry.WasSeen || !isOlder(Seen, Entry.Seen))
    Entry.Seen = Seen;
  Entry.WasSeen = true;
  if (Seen.IsPrimary)
    sample(Databases[Entry.Database], Seen.Term, {AskedAt, Seen.Position});
}

void TargetTable::sample(History &Of, std::uint64_t Term, const Sample &New) {
  if (Term < Of.Term)
    return;
  if (Term > Of.Term) {
    Of.Term = Term;
    Of.Samples.clear();
  }
  if (Of.Samples.empty()) {
    Of.Samples.push_back(New);
    return;
  }
  Sample &Last = Of.Samples.back();
  if (New.Position == Last.Position)
    Last.AskedAt = std::max(Last.AskedAt, New.AskedAt);
  else if (New.Position > Last.Position &&
           New.AskedAt >= Last.AskedAt + SampleSpacing)
    Of.Samples.push_back(New);
  if (Of.Samples.size() > MaxSamples)
    Of.Samples.pop_front();
}

void TargetTable::refused(const std::string &Target) {
  const auto Found = Targets.find(Target);
  if (Found != Targets.end())
    Found->second.Refused = true;
}

bool TargetTable::isReachable(const std::string &Target, Millis SuspectAfter,
                              Millis Now) const {
  const auto Found = Targets.find(Target);
  return Found != Targets.end() && !Found->second.Refused &&
         Now - Found->second.LastAnswer < SuspectAfter;
}

std::vector<TargetReport> TargetTable::reports(Millis SuspectAfter,
                                               Millis Now) const {
  std::vector<TargetReport> Out;
  for (const auto &[Name, Each] : Targets)
    Out.push_back(
        {Name, isReachable(Name, SuspectAfter, Now), Now - Each.LastAnswer});
  return Out;
}

std::size_t TargetTable::copies(const GroupRecord &Group,
                                std::uint64_t Position) const {
  // A fenced primary has the new term at once but keeps a tail of its own,
  // whose positions say nothing of the group's writes. Counted as a copy it
  // would have a write confirmed that the next failover loses. The write
  // itself may be of an earlier term, when its key was sent again.
  std::size_t Count = 0;
  for (const auto &[Name, Each] : Targets)
    if (Each.Database == Group.Database && Each.Seen.Term == Group.Term &&
        Each.Seen.Position >= Position &&
        Group.holds(Each.Seen.LogTerm, Each.Seen.Position))
      ++Count;
  return Count;
}

std::optional<Millis> TargetTable::age(const std::string &Target,
                                       const GroupRecord &Group,
                                       Millis Now) const {
  const std::uint64_t Term = Group.Term;
  const auto Found = Targets.find(Target);
  if (Found == Targets.end() || Found->second.Seen.Term != Term ||
      !Group.holds(Found->second.Seen.LogTerm, Found->second.Seen.Position))
    return std::nullopt;
  const auto History = Databases.find(Found->second.Database);
  if (History == Databases.end() || History->second.Term != Term)
    return std::nullopt;
  const auto &Samples = History->second.Samples;
  for (auto Each = Samples.rbegin(); Each != Samples.rend(); ++Each)
    if (Each->Position <= Found->second.Seen.Position)
      return Now - Each->AskedAt;
  return std::nullopt;
}

std::optional<TargetSighting>
TargetTable::sighting(const std::string &Target) const {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end() || !Found->second.WasSeen)
    return std::nullopt;
  return Found->second.Seen;
}

} // namespace corianderdyke
