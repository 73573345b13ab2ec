/// \file
/// The state machine that the control group's log drives.

#ifndef CORIANDERDYKE_STATE_CONTROLSTATE_H
#define CORIANDERDYKE_STATE_CONTROLSTATE_H

#include "State/Command.h"

namespace corianderdyke {

/// One line of the audit trail.
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

/// What the application of one command came to.
struct ApplyResult {
  /// The revision that made the change. A manifest sent again after its answer
  /// was lost gets the one of its first acceptance.
  std::uint64_t Revision = 0;
  /// Set where the command was refused; the state is then unchanged.
  std::optional<Error> Refusal;

  bool operator==(const ApplyResult &) const = default;
};

/// Deterministic: hosts that applied the same entries hold the same state.
class ControlState {
public:
  /// Applies the entry at \p Revision, which is above any before.
  ApplyResult apply(std::uint64_t Revision, const Command &Entry);

  /// Adds the control hosts that vote from \p Revision on to the audit trail.
  ApplyResult recordControlHosts(std::uint64_t Revision,
                                 const std::string &Voters);

  /// Whether a manifest would be accepted now; Conflict where the version
  /// stands for other content or is behind.
  Expected<void> check(const Manifest &New) const;

  const ClusterView &view() const { return View; }
  const std::vector<AuditRecord> &audit() const { return Audit; }
  const std::vector<ManifestRecord> &manifests() const { return Manifests; }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(View, Audit, Manifests);
  }

  bool operator==(const ControlState &) const = default;

  /// Older lines leave the state; each host's log file keeps them longer.
  static constexpr std::size_t MaxAuditRecords = 5000;
  /// Manifest texts that are kept.
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
  /// Databases in use whose numbers of targets or copies would change.
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
