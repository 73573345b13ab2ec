/// \file
/// The state machine that the control group's log drives.

#include "State/ControlState.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr std::size_t ShownDigest = 12;

std::string describe(const Manifest &Of) {
  return "version " + std::to_string(Of.Version) + " (" +
         Of.digest().substr(0, ShownDigest) + ")";
}

std::string describe(const GroupRecord &Of) {
  return "term " + std::to_string(Of.Term) +
         (Of.Primary.empty() ? "" : " primary " + Of.Primary);
}

/// Drops the oldest of more than \p Most, at least \p AtOnce of them: to move
/// thousands of lines for each new one took most of a change's time.
template <class T>
void keepLast(std::vector<T> &All, std::size_t Most, std::size_t AtOnce) {
  if (All.size() >= Most + AtOnce)
    All.erase(All.begin(), All.end() - static_cast<std::ptrdiff_t>(Most));
}

} // namespace

ApplyResult ControlState::apply(std::uint64_t Revision, const Command &Entry) {
  // The same change sent again after its answer was lost: it gets the answer
  // that was lost, and proxies get nothing new.
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
  // Which copies a failover under way must read would change under it.
  for (const std::string &Database : databasesWithOtherCopies(New))
    if (!View.group(Database)->isWritable())
      return fail(ErrorCode::Conflict,
                  "'" + Database +
                      "' has no primary at the moment; its targets and "
                      "copies can be changed once it has");
  return {};
}

// An operator whose answer was lost may learn only now that the change had
// been made, when another has already taken its place. To accept it again
// would look as if it were in force.
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
  // The entry carries no time of day. All hosts agree on that of the last
  // line.
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
  // Writes that were acknowledged with fewer copies, or in a larger group, may
  // be on none of the targets that the new numbers have read in a failover:
  // callers would miss them after it. Until each target has reached a position
  // that the primary told after the new manifest was in force everywhere, a
  // failover reads as many as either manifest asks for.
  const DatabasePolicy *Former = View.CurrentManifest->database(Group.Database);
  Group.MinFailoverQuorum =
      static_cast<std::uint32_t>(Group.failoverQuorum(*Former));
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
  if (std::string Why = View.refusalReason(New); !Why.empty())
    return Error{ErrorCode::Conflict, std::move(Why)};
  const auto Known = View.Targets.find(New.Name);
  if (Known != View.Targets.end() && Known->second.Sequence >= New.Sequence)
    return Error{ErrorCode::Conflict, "a later announcement is known"};
  const bool Joins = Known == View.Targets.end();
  if (!Joins && Known->second.Database != New.Database)
    View.Groups[Known->second.Database].Targets.erase(New.Name);
  View.Targets[New.Name] = New;
  addToGroup(View.Groups[New.Database], New);
  // If it comes back after another took its place, what was acknowledged
  // meanwhile may be missing from its log.
  if (New.Leaving)
    View.Groups[New.Database].CompleteLogs.erase(New.Name);
  appendAudit(Entry, {.Action = New.Leaving ? "target-leaving"
                                : Joins     ? "target-joined"
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
  // One of the first targets of a group, which starts with the first few of
  // them. Nothing was ever acknowledged on the strength of a log that it has
  // lost, nor on that of a target that it takes the place of. Without this a
  // group whose primary fails before the last target has caught up would
  // stand still for no reason.
  const DatabasePolicy *Policy =
      View.CurrentManifest ? View.CurrentManifest->database(Group.Database)
                           : nullptr;
  if (Policy != nullptr && Group.JoinCount <= Policy->Targets)
    Group.CompleteLogs[Target.Name] = Target.LogId;
}

void ControlState::updateCompleteLogs(GroupRecord &Group,
                                      const TargetAnnouncement &Primary,
                                      bool Lossy) const {
  // What is acknowledged from now on counts from the log of this primary.
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
    return Error{ErrorCode::NotFound, "no such target, or a later life of it"};
  for (auto &[Database, Group] : View.Groups) {
    if (Group.Primary == Body.Target)
      return Error{ErrorCode::Conflict, "it's the primary of " + Database};
    // What is acknowledged while it's away isn't counted on it; if it comes
    // back it has to catch up first.
    Group.CompleteLogs.erase(Body.Target);
  }
  appendAudit(Entry,
              {.Action = "target-removed",
               .Subject = Body.Target,
               .From = Target->Address.text() + " of " + Target->Database,
               .Reason = Body.Reason});
  GroupRecord &Left = View.Groups[Target->Database];
  Left.Targets.erase(Body.Target);
  markVerified(Left, Body.Target);
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
  // A target that restarted since it told its position may have lost its log.
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
