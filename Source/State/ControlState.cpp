/// \file
/// The replicated state machine of the control group.

#include "State/ControlState.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr std::size_t ShownDigestLength = 12;

std::string describe(const Manifest &Of) {
  return "version " + std::to_string(Of.Version) + " (" +
         Of.digest().substr(0, ShownDigestLength) + ")";
}

std::string describe(const GroupRecord &Of) {
  return "term " + std::to_string(Of.Term) +
         (Of.Primary.empty() ? "" : " primary " + Of.Primary);
}

/// Removes the oldest elements beyond \p MaxCount once there are \p Batch more
/// than that. Removing one element for each new one would move thousands of
/// records and take most of the time of a change.
template <class T>
void keepLast(std::vector<T> &Elements, std::size_t MaxCount,
              std::size_t Batch) {
  if (Elements.size() >= MaxCount + Batch)
    Elements.erase(Elements.begin(),
                   Elements.end() - static_cast<std::ptrdiff_t>(MaxCount));
}

} // namespace

ApplyResult ControlState::apply(std::uint64_t Revision, const Command &Entry) {
  // This is a retry of a change whose answer was lost. It gets the same answer,
  // and proxies receive no new revision.
  if (const auto *Body = std::get_if<ApplyManifest>(&Entry.Body);
      Body != nullptr && isCurrentManifest(Body->New))
    return {Manifests.back().Revision, std::nullopt};
  const std::uint64_t Before = View.Revision;
  View.Revision = Revision;
  auto Refusal =
      std::visit([&](const auto &Body) { return on(Entry, Body); }, Entry.Body);
  if (Refusal)
    View.Revision = Before;
  return {Revision, std::move(Refusal)};
}

void ControlState::appendAudit(const Command &Entry, AuditRecord Record) {
  Record.Revision = View.Revision;
  Record.WallTime = Entry.WallTime;
  Record.Actor = Entry.Actor;
  Audit.push_back(std::move(Record));
  keepLast(Audit, MaxAuditRecords, MaxAuditRecords / 10);
}

Expected<void> ControlState::check(const Manifest &New) const {
  if (!View.CurrentManifest)
    return {};
  const Manifest &Now = *View.CurrentManifest;
  if (New.Version == Now.Version && New.digest() != Now.digest())
    return fail(ErrorCode::Conflict,
                "version " + std::to_string(New.Version) +
                    " is in force with other content: it has digest " +
                    Now.digest() + ", the one sent has " + New.digest());
  if (New.Version < Now.Version)
    return fail(ErrorCode::Conflict, "version " + std::to_string(Now.Version) +
                                         " is in force; version " +
                                         std::to_string(New.Version) +
                                         " is behind it" + acceptedBefore(New));
  // The change would alter which targets a pending failover must read.
  for (const std::string &Database : databasesWithOtherCopies(New))
    if (!View.group(Database)->isWritable())
      return fail(ErrorCode::Conflict,
                  "'" + Database +
                      "' has no primary at the moment; its targets and "
                      "copies can be changed once it has");
  return {};
}

// An operator whose answer was lost may retry a change only after another
// change has already replaced it. Accepting the retry would wrongly suggest
// that the change is in force.
std::string ControlState::acceptedBefore(const Manifest &Old) const {
  for (const ManifestRecord &Each : Manifests)
    if (Each.Version == Old.Version)
      return Each.Digest == Old.digest()
                 ? "; it was accepted with this content at revision " +
                       std::to_string(Each.Revision)
                 : "; it was accepted with other content, digest " +
                       Each.Digest + ", the one sent has " + Old.digest();
  return "";
}

bool ControlState::isCurrentManifest(const Manifest &New) const {
  return View.CurrentManifest && View.CurrentManifest->Version == New.Version &&
         View.CurrentManifest->digest() == New.digest();
}

ApplyResult ControlState::recordControlHosts(std::uint64_t Revision,
                                             const std::string &Voters) {
  // The entry carries no wall time. The time of the last audit record is the
  // same on all hosts.
  AuditRecord Line{.Revision = Revision,
                   .WallTime = Audit.empty() ? Millis() : Audit.back().WallTime,
                   .Actor = "control",
                   .Action = "control-hosts-changed",
                   .Subject = "control-group",
                   .To = Voters};
  Audit.push_back(std::move(Line));
  keepLast(Audit, MaxAuditRecords, MaxAuditRecords / 10);
  return {Revision, std::nullopt};
}

std::vector<std::string>
ControlState::databasesWithOtherCopies(const Manifest &New) const {
  std::vector<std::string> Out;
  for (const DatabasePolicy &Each : New.Databases) {
    const DatabasePolicy *Now = View.CurrentManifest
                                    ? View.CurrentManifest->database(Each.Name)
                                    : nullptr;
    const GroupRecord *Group = View.group(Each.Name);
    if (Now != nullptr && Group != nullptr && !Group->Forks.empty() &&
        (Now->Targets != Each.Targets ||
         Now->AcknowledgedCopies != Each.AcknowledgedCopies))
      Out.push_back(Each.Name);
  }
  return Out;
}

void ControlState::raiseFailoverQuorum(GroupRecord &Group) const {
  // A failover under the new numbers might read none of the targets that hold a
  // write which was acknowledged with fewer copies or in a larger group, and
  // callers would lose it. Until each target has reached a position that the
  // primary reported after the new manifest was in force everywhere, a failover
  // reads as many targets as the stricter of the two manifests requires.
  const DatabasePolicy *OldPolicy =
      View.CurrentManifest->database(Group.Database);
  Group.MinFailoverQuorum =
      static_cast<std::uint32_t>(Group.failoverQuorum(*OldPolicy));
  Group.JoinCount = GroupRecord::InitialJoinsClosed;
  Group.UnverifiedTargets = Group.Targets;
  Group.UnverifiedTargets.erase(Group.Primary);
}

void ControlState::markVerified(GroupRecord &Group, const std::string &Target) {
  Group.UnverifiedTargets.erase(Target);
  if (Group.UnverifiedTargets.empty())
    Group.MinFailoverQuorum = 0;
}

std::optional<Error> ControlState::on(const Command &Entry,
                                      const ApplyManifest &Body) {
  if (auto Checked = check(Body.New); !Checked)
    return Checked.error();
  appendAudit(
      Entry,
      {.Action = "manifest-applied",
       .Subject = "manifest",
       .From = View.CurrentManifest ? describe(*View.CurrentManifest) : "none",
       .To = describe(Body.New)});
  for (const std::string &Database : databasesWithOtherCopies(Body.New))
    raiseFailoverQuorum(View.Groups[Database]);
  View.CurrentManifest = Body.New;
  View.MaxLeaseDuration =
      std::max(View.MaxLeaseDuration, Body.New.Failover.LeaseDuration);
  Manifests.push_back({View.Revision, Entry.WallTime, Entry.Actor,
                       Body.New.Version, Body.New.digest(), Body.Text});
  keepLast(Manifests, MaxManifests, 1);
  for (const DatabasePolicy &Each : Body.New.Databases) {
    GroupRecord &Group = View.Groups[Each.Name];
    Group.Database = Each.Name;
  }
  return std::nullopt;
}

std::optional<Error> ControlState::on(const Command &Entry,
                                      const RegisterProxy &Body) {
  if (View.Proxies.count(Body.Id) != 0)
    return Error{ErrorCode::Conflict, "registered before"};
  View.Proxies[Body.Id] = Body.ProxyLocality;
  appendAudit(Entry, {.Action = "proxy-joined", .Subject = Body.Id.Name});
  return std::nullopt;
}

std::optional<Error> ControlState::on(const Command &Entry,
                                      const RemoveProxy &Body) {
  if (View.Proxies.erase(Body.Id) == 0)
    return Error{ErrorCode::NotFound, "not registered"};
  appendAudit(Entry, {.Action = "proxy-left", .Subject = Body.Id.Name});
  return std::nullopt;
}

std::optional<Error> ControlState::on(const Command &Entry,
                                      const RecordTarget &Body) {
  const TargetAnnouncement &New = Body.Target;
  if (std::string Refusal = View.refusalReason(New); !Refusal.empty())
    return Error{ErrorCode::Conflict, std::move(Refusal)};
  const auto Known = View.Targets.find(New.Name);
  if (Known != View.Targets.end() && Known->second.Sequence >= New.Sequence)
    return Error{ErrorCode::Conflict, "a later announcement is known"};
  const bool IsNew = Known == View.Targets.end();
  if (!IsNew && Known->second.Database != New.Database)
    View.Groups[Known->second.Database].Targets.erase(New.Name);
  View.Targets[New.Name] = New;
  addToGroup(View.Groups[New.Database], New);
  // If the target returns after another one replaced it, writes that were
  // acknowledged in the meantime may be missing from its log.
  if (New.Leaving)
    View.Groups[New.Database].CompleteLogs.erase(New.Name);
  appendAudit(Entry, {.Action = New.Leaving ? "target-leaving"
                                : IsNew     ? "target-joined"
                                            : "target-changed",
                      .Subject = New.Name,
                      .To = New.Address.text() + " of " + New.Database});
  return std::nullopt;
}

void ControlState::addToGroup(GroupRecord &Group,
                              const TargetAnnouncement &Target) const {
  if (!Group.Targets.insert(Target.Name).second)
    return;
  if (Group.JoinCount != GroupRecord::InitialJoinsClosed)
    ++Group.JoinCount;
  // The log of an initial target of a group counts as complete: a group starts
  // with its first few targets, and no write was acknowledged on the basis of a
  // log that this target lost, or of a target that it replaces. Otherwise a
  // group whose primary fails before the last target has caught up would remain
  // without a primary for no reason.
  const DatabasePolicy *Policy =
      View.CurrentManifest ? View.CurrentManifest->database(Group.Database)
                           : nullptr;
  if (Policy != nullptr && Group.JoinCount <= Policy->Targets)
    Group.CompleteLogs[Target.Name] = Target.LogId;
}

void ControlState::updateCompleteLogs(GroupRecord &Group,
                                      const TargetAnnouncement &Primary,
                                      bool Lossy) const {
  // Writes acknowledged from now on are counted from the log of this primary.
  if (Lossy)
    Group.CompleteLogs.clear();
  if (Group.Forks.empty())
    for (const TargetAnnouncement &Each : View.targetsOf(Group.Database))
      Group.CompleteLogs[Each.Name] = Each.LogId;
  Group.CompleteLogs[Primary.Name] = Primary.LogId;
  if (Group.MinFailoverQuorum > 0) {
    Group.UnverifiedTargets = Group.Targets;
    Group.UnverifiedTargets.erase(Primary.Name);
  }
}

std::optional<Error> ControlState::on(const Command &Entry,
                                      const ConfirmTargetLog &Body) {
  const auto Known = View.Groups.find(Body.Database);
  const TargetAnnouncement *Target = View.target(Body.Target);
  if (Known == View.Groups.end() || Target == nullptr)
    return Error{ErrorCode::NotFound, "no such database or target"};
  GroupRecord &Group = Known->second;
  if (Group.Term != Body.Term || !Group.isWritable() ||
      Target->LogId != Body.LogId || Target->Leaving)
    return Error{ErrorCode::Conflict, "the group or the target has moved on"};
  Group.CompleteLogs[Body.Target] = Body.LogId;
  markVerified(Group, Body.Target);
  appendAudit(Entry, {.Action = "target-settled",
                      .Subject = Body.Target,
                      .To = "holds the log of " + Body.Database});
  return std::nullopt;
}

std::optional<Error> ControlState::on(const Command &Entry,
                                      const RemoveTarget &Body) {
  const TargetAnnouncement *Target = View.target(Body.Target);
  if (Target == nullptr || Target->Sequence != Body.Sequence)
    return Error{ErrorCode::NotFound,
                 "no such target, or a later incarnation of it"};
  for (auto &[Database, Group] : View.Groups) {
    if (Group.Primary == Body.Target)
      return Error{ErrorCode::Conflict, "it's the primary of " + Database};
    // Writes that are acknowledged in the absence of the target do not count on
    // it. If it returns, it must catch up first.
    Group.CompleteLogs.erase(Body.Target);
  }
  appendAudit(Entry,
              {.Action = "target-removed",
               .Subject = Body.Target,
               .From = Target->Address.text() + " of " + Target->Database,
               .Reason = Body.Reason});
  GroupRecord &FormerGroup = View.Groups[Target->Database];
  FormerGroup.Targets.erase(Body.Target);
  markVerified(FormerGroup, Body.Target);
  View.Targets.erase(Body.Target);
  return std::nullopt;
}

std::optional<Error> ControlState::on(const Command &Entry,
                                      const DrainGroup &Body) {
  const auto Known = View.Groups.find(Body.Database);
  if (Known == View.Groups.end())
    return Error{ErrorCode::NotFound, "no such database"};
  GroupRecord &Group = Known->second;
  if (Group.Term != Body.Term || !Group.isWritable())
    return Error{ErrorCode::Conflict, "the group has moved on"};
  Group.Phase = GroupPhase::Draining;
  appendAudit(Entry, {.Action = "primary-draining",
                      .Subject = Body.Database,
                      .From = describe(Group),
                      .Reason = Body.Reason});
  return std::nullopt;
}

std::optional<Error> ControlState::on(const Command &Entry,
                                      const RecordAuditEvent &Body) {
  appendAudit(
      Entry,
      {.Action = Body.Action, .Subject = Body.Subject, .Reason = Body.Reason});
  return std::nullopt;
}

std::optional<Error> ControlState::on(const Command &Entry,
                                      const FenceGroup &Body) {
  const auto Known = View.Groups.find(Body.Database);
  if (Known == View.Groups.end())
    return Error{ErrorCode::NotFound, "no such database"};
  GroupRecord &Group = Known->second;
  if (Body.NewTerm != Group.Term + 1)
    return Error{ErrorCode::Conflict, "the group's term has moved on"};
  const std::string Before = describe(Group);
  Group.Phase = GroupPhase::Fencing;
  Group.Term = Body.NewTerm;
  Group.Primary.clear();
  appendAudit(Entry, {.Action = "primary-fenced",
                      .Subject = Body.Database,
                      .From = Before,
                      .To = describe(Group),
                      .Reason = Body.Reason});
  return std::nullopt;
}

std::optional<Error> ControlState::on(const Command &Entry,
                                      const PromoteTarget &Body) {
  const auto Known = View.Groups.find(Body.Database);
  if (Known == View.Groups.end())
    return Error{ErrorCode::NotFound, "no such database"};
  GroupRecord &Group = Known->second;
  if (Group.Term != Body.Term || Group.Phase != GroupPhase::Fencing)
    return Error{ErrorCode::Conflict, "the group isn't fenced for that term"};
  // A target that restarted since it reported its position may have lost its
  // log.
  const TargetAnnouncement *Target = View.target(Body.Target);
  if (Target == nullptr || Target->Sequence != Body.Sequence)
    return Error{ErrorCode::Conflict, "the target isn't the one that was read"};
  const std::string Before = describe(Group);
  updateCompleteLogs(Group, *Target, Body.Lossy);
  Group.Phase = GroupPhase::Promoted;
  Group.Primary = Body.Target;
  Group.PrimarySequence = Body.Sequence;
  Group.Forks.push_back({Body.Term, Body.Position});
  appendAudit(Entry, {.Action = "target-promoted",
                      .Subject = Body.Database,
                      .From = Before,
                      .To = describe(Group) + " at position " +
                            std::to_string(Body.Position),
                      .Reason = Body.Reason});
  return std::nullopt;
}

} // namespace corianderdyke
