/// \file
/// The replicated state machine of the control group.

#ifndef CORIANDERDYKE_STATE_CONTROLSTATE_H
#define CORIANDERDYKE_STATE_CONTROLSTATE_H

#include "State/Command.h"

namespace corianderdyke {

/// One record of the audit trail.
struct AuditRecord {
  std::uint64_t Revision = 0;
  Millis WallTime = {};
  std::string Actor = {};
  std::string Action = {};
  std::string Subject = {};
  std::string From = {};
  std::string To = {};
  std::string Reason = {};

  bool operator==(const AuditRecord &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Revision, WallTime, Actor, Action, Subject, From, To, Reason);
  }
};

/// An accepted manifest with its text.
struct ManifestRecord {
  std::uint64_t Revision = 0;
  Millis WallTime;
  std::string Actor;
  std::uint64_t Version = 0;
  std::string Digest;
  std::string Text;

  bool operator==(const ManifestRecord &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Revision, WallTime, Actor, Version, Digest, Text);
  }
};

/// Result of applying one command.
struct ApplyResult {
  /// The revision that made the change. A retry of a manifest whose answer was
  /// lost gets the revision of the first acceptance.
  std::uint64_t Revision = 0;
  /// Set if the command was refused. The state is then unchanged.
  std::optional<Error> Refusal;

  bool operator==(const ApplyResult &) const = default;
};

/// Deterministic: hosts that applied the same entries have equal states.
class ControlState {
public:
  /// Applies the entry at \p Revision, which must be greater than any earlier
  /// one.
  ApplyResult apply(std::uint64_t Revision, const Command &Entry);

  /// Records in the audit trail which control hosts vote from \p Revision on.
  ApplyResult recordControlHosts(std::uint64_t Revision,
                                 const std::string &Voters);

  /// Checks whether a manifest would be accepted now. Returns Conflict if its
  /// version is in force with other content or is older than the version in
  /// force, or if it changes the number of targets or copies of a database in
  /// use that has no writable primary.
  Expected<void> check(const Manifest &New) const;

  const ClusterView &view() const { return View; }
  const std::vector<AuditRecord> &audit() const { return Audit; }
  const std::vector<ManifestRecord> &manifests() const { return Manifests; }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(View, Audit, Manifests);
  }

  bool operator==(const ControlState &) const = default;

  /// Number of audit records that stay in the state when older ones are
  /// removed, which happens once there are a tenth more. The log file of each
  /// host keeps older ones for longer.
  static constexpr std::size_t MaxAuditRecords = 5000;
  /// Maximum number of manifest texts that are kept.
  static constexpr std::size_t MaxManifests = 50;

private:
  std::optional<Error> on(const Command &Entry, const ApplyManifest &Body);
  std::optional<Error> on(const Command &Entry, const RegisterProxy &Body);
  std::optional<Error> on(const Command &Entry, const RemoveProxy &Body);
  std::optional<Error> on(const Command &Entry, const RecordTarget &Body);
  std::optional<Error> on(const Command &Entry, const FenceGroup &Body);
  std::optional<Error> on(const Command &Entry, const PromoteTarget &Body);
  std::string acceptedBefore(const Manifest &Old) const;
  bool isCurrentManifest(const Manifest &New) const;
  std::optional<Error> on(const Command &Entry, const ConfirmTargetLog &Body);
  std::optional<Error> on(const Command &Entry, const RemoveTarget &Body);
  std::optional<Error> on(const Command &Entry, const RecordAuditEvent &Body);
  /// Returns the databases in use whose number of targets or copies \p New
  /// would change.
  std::vector<std::string> databasesWithOtherCopies(const Manifest &New) const;
  void raiseFailoverQuorum(GroupRecord &Group) const;
  static void markVerified(GroupRecord &Group, const std::string &Target);
  void addToGroup(GroupRecord &Group, const TargetAnnouncement &Target) const;
  std::optional<Error> on(const Command &Entry, const DrainGroup &Body);
  void updateCompleteLogs(GroupRecord &Group, const TargetAnnouncement &Primary,
                          bool Lossy) const;
  void appendAudit(const Command &Entry, AuditRecord Record);

  ClusterView View;
  std::vector<AuditRecord> Audit;
  std::vector<ManifestRecord> Manifests;
};

} // namespace corianderdyke

#endif
