/// \file
/// A proxy's observations of targets: reachability, terms, positions and ages.

#include "Routing/TargetTable.h"

#include <algorithm>
#include <tuple>

namespace corianderdyke {

namespace {

constexpr std::size_t MaxSamples = 512;
/// Samples closer together than this are skipped, which can only overestimate
/// an age.
constexpr Millis SampleSpacing(5);

/// Compares the term and the fencing before the position: a target that joins a
/// term truncates its log at the fork, so its position may decrease then.
bool isOlder(const TargetObservation &Left, const TargetObservation &Right) {
  return std::tuple(Left.Term, !Left.IsFenced, Left.Position) <
         std::tuple(Right.Term, !Right.IsFenced, Right.Position);
}

} // namespace

void TargetTable::update(const ClusterView &View, Millis Now) {
  for (auto Each = Targets.begin(); Each != Targets.end();)
    Each = View.Targets.count(Each->first) == 0 ? Targets.erase(Each)
                                                : std::next(Each);
  for (const auto &[Name, Target] : View.Targets) {
    const auto [Entry, New] = Targets.try_emplace(Name);
    // A new announcement means that the target restarted and may have lost its
    // log.
    if (!New && Entry->second.Sequence != Target.Sequence)
      Entry->second = TargetState{};
    if (New || Entry->second.Sequence != Target.Sequence)
      Entry->second.LastAnswer = Now;
    Entry->second.Database = Target.Database;
    Entry->second.Sequence = Target.Sequence;
  }
}

void TargetTable::observe(const std::string &Target,
                          const TargetObservation &Observation, Millis AskedAt,
                          Millis Now) {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return;
  TargetState &Entry = Found->second;
  Entry.ConnectionRefused = false;
  Entry.LastAnswer = std::max(Entry.LastAnswer, Now);
  const bool HasAdvanced =
      !Entry.IsObserved || isOlder(Entry.LastObservation, Observation);
  // Answers on two connections may arrive out of order. Until a target
  // restarts, neither its term nor, after it has joined the term, its position
  // decreases.
  if (!Entry.IsObserved || !isOlder(Observation, Entry.LastObservation))
    Entry.LastObservation = Observation;
  Entry.IsObserved = true;
  updateProgress(Entry, HasAdvanced, Now);
  if (Observation.IsPrimary)
    addSample(Databases[Entry.Database], Observation.Term,
              {AskedAt, Observation.Position});
}

void TargetTable::updateProgress(TargetState &Entry, bool HasAdvanced,
                                 Millis Now) {
  const PositionHistory &Primary = Databases[Entry.Database];
  const bool IsBehind = Entry.LastObservation.Term != Primary.Term ||
                        Entry.LastObservation.Position < Primary.Position;
  if (!IsBehind)
    Entry.StalledSince.reset();
  else if (HasAdvanced || !Entry.StalledSince)
    Entry.StalledSince = Now;
}

bool TargetTable::isStalled(const std::string &Primary,
                            const DatabasePolicy &Policy, Millis SuspectAfter,
                            Millis Now) const {
  std::size_t Answering = 1;
  std::size_t Copying = 1;
  for (const auto &[Name, Each] : Targets) {
    if (Each.Database != Policy.Name || Name == Primary ||
        !isReachable(Name, SuspectAfter, Now))
      continue;
    ++Answering;
    if (!Each.StalledSince ||
        Now - *Each.StalledSince < SuspectAfter * StallTimeoutFactor)
      ++Copying;
  }
  // If too few targets answer, another primary could not acknowledge writes
  // either.
  return Copying < Policy.AcknowledgedCopies &&
         Answering >= Policy.AcknowledgedCopies;
}

void TargetTable::addSample(PositionHistory &History, std::uint64_t Term,
                            const Sample &New) {
  if (Term < History.Term)
    return;
  if (Term > History.Term) {
    History.Term = Term;
    History.Position = 0;
    History.Samples.clear();
  }
  History.Position = std::max(History.Position, New.Position);
  if (History.Samples.empty()) {
    History.Samples.push_back(New);
    return;
  }
  Sample &Last = History.Samples.back();
  if (New.Position == Last.Position)
    Last.AskedAt = std::max(Last.AskedAt, New.AskedAt);
  else if (New.Position > Last.Position &&
           New.AskedAt >= Last.AskedAt + SampleSpacing)
    History.Samples.push_back(New);
  if (History.Samples.size() > MaxSamples)
    History.Samples.pop_front();
}

void TargetTable::markRefused(const std::string &Target) {
  const auto Found = Targets.find(Target);
  if (Found != Targets.end())
    Found->second.ConnectionRefused = true;
}

bool TargetTable::isReachable(const std::string &Target, Millis SuspectAfter,
                              Millis Now) const {
  const auto Found = Targets.find(Target);
  return Found != Targets.end() && !Found->second.ConnectionRefused &&
         Now - Found->second.LastAnswer < SuspectAfter;
}

std::set<std::string> TargetTable::unreachable(Millis SuspectAfter,
                                               Millis Now) const {
  std::set<std::string> Out;
  for (const auto &[Name, Each] : Targets)
    if (!isReachable(Name, SuspectAfter, Now))
      Out.insert(Name);
  return Out;
}

std::vector<TargetReport> TargetTable::reports(const ClusterView &View,
                                               Millis Now) const {
  std::vector<TargetReport> Out;
  if (!View.CurrentManifest)
    return Out;
  const Millis SuspectAfter = View.CurrentManifest->Failover.SuspectAfter;
  for (const auto &[Name, Each] : Targets) {
    const GroupRecord *Group = View.group(Each.Database);
    const DatabasePolicy *Policy =
        View.CurrentManifest->database(Each.Database);
    const bool Stalled = Group != nullptr && Policy != nullptr &&
                         Group->Primary == Name &&
                         isStalled(Name, *Policy, SuspectAfter, Now);
    Out.push_back({Name, isReachable(Name, SuspectAfter, Now),
                   Now - Each.LastAnswer, Stalled});
  }
  return Out;
}

std::vector<TargetReport> TargetTable::unhealthyReports(const ClusterView &View,
                                                        Millis Now) const {
  std::vector<TargetReport> Out = reports(View, Now);
  Out.erase(std::remove_if(
                Out.begin(), Out.end(),
                [](const TargetReport &Each) { return !Each.isUnhealthy(); }),
            Out.end());
  return Out;
}

std::size_t TargetTable::countCopies(const GroupRecord &Group,
                                     std::uint64_t Position) const {
  // A former primary that is fenced but does not follow the new primary yet
  // reports the new term with the end of its own log. Counting it as a copy
  // could acknowledge a write that the next failover loses. The write itself
  // may be of an earlier term if its idempotency key was sent again.
  std::size_t Count = 0;
  for (const auto &[Name, Each] : Targets)
    if (Each.Database == Group.Database &&
        Each.LastObservation.Term == Group.Term &&
        !Each.LastObservation.IsFenced &&
        Each.LastObservation.Position >= Position &&
        Group.containsPosition(Each.LastObservation.LogTerm,
                               Each.LastObservation.Position))
      ++Count;
  return Count;
}

std::optional<Millis> TargetTable::age(const std::string &Target,
                                       const GroupRecord &Group,
                                       Millis Now) const {
  const std::uint64_t Term = Group.Term;
  const auto Found = Targets.find(Target);
  if (Found == Targets.end() || Found->second.LastObservation.Term != Term ||
      Found->second.LastObservation.IsFenced ||
      !Group.containsPosition(Found->second.LastObservation.LogTerm,
                              Found->second.LastObservation.Position))
    return std::nullopt;
  const auto History = Databases.find(Found->second.Database);
  if (History == Databases.end() || History->second.Term != Term)
    return std::nullopt;
  const auto &Samples = History->second.Samples;
  for (auto Each = Samples.rbegin(); Each != Samples.rend(); ++Each)
    if (Each->Position <= Found->second.LastObservation.Position)
      return Now - Each->AskedAt;
  return std::nullopt;
}

std::optional<TargetObservation>
TargetTable::lastObservation(const std::string &Target) const {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end() || !Found->second.IsObserved)
    return std::nullopt;
  return Found->second.LastObservation;
}

} // namespace corianderdyke
