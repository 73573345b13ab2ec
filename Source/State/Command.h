/// \file
/// The commands that the control group agrees on, one an entry of its log.

#ifndef CORIANDERDYKE_STATE_COMMAND_H
#define CORIANDERDYKE_STATE_COMMAND_H

#include "State/ClusterView.h"

#include <variant>

namespace corianderdyke {

/// Puts a manifest in force.
struct ApplyManifest {
  Manifest New;
  std::string Text; ///< The file as the operator sent it.
  auto operator<=>(const ApplyManifest &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(New, Text); }
};

/// Lets one life of a proxy ask for leases. It's committed before the first
/// lease, so that a new leader knows everyone who may hold one.
struct RegisterProxy {
  ProcessId Id;
  Locality ProxyLocality;
  auto operator<=>(const RegisterProxy &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, ProxyLocality);
  }
};

/// Forgets a proxy whose last lease has certainly run out.
struct RemoveProxy {
  ProcessId Id;
  auto operator<=>(const RemoveProxy &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Id); }
};

/// Takes over what a target has said of itself.
struct RecordTarget {
  TargetAnnouncement Target;
  auto operator<=>(const RecordTarget &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Target); }
};

/// Ends the term of a group's primary.
struct FenceGroup {
  std::string Database;
  std::uint64_t NewTerm = 0;
  std::string Reason;
  auto operator<=>(const FenceGroup &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Database, NewTerm, Reason);
  }
};

/// Gives the term to a target.
struct PromoteTarget {
  std::string Database;
  std::uint64_t Term = 0;
  std::string Target;
  std::uint64_t Position = 0; ///< Where its log stood; the term's fork.
  std::uint64_t Sequence = 0; ///< Of the life that told this position.
  bool Lossy = false; ///< Too few targets were read to prove it has all.
  std::string Reason;
  auto operator<=>(const PromoteTarget &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Database, Term, Target, Position, Sequence, Lossy, Reason);
  }
};

/// A target that came new or without its log has caught up in this term.
struct ConfirmTargetLog {
  std::string Database;
  std::uint64_t Term = 0;
  std::string Target;
  std::string LogId;
  auto operator<=>(const ConfirmTargetLog &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Database, Term, Target, LogId);
  }
};

/// Forgets a target that has left or has been silent for long.
struct RemoveTarget {
  std::string Target;
  std::uint64_t Sequence = 0;
  std::string Reason;
  auto operator<=>(const RemoveTarget &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Target, Sequence, Reason);
  }
};

/// Begins the hand-over of a primary that is leaving.
struct DrainGroup {
  std::string Database;
  std::uint64_t Term = 0;
  std::string Reason;
  auto operator<=>(const DrainGroup &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Database, Term, Reason);
  }
};

/// Writes into the audit trail what the system can't or won't do, and why, or
/// who ordered what an entry of another kind carries out.
struct RecordAuditEvent {
  std::string Action;
  std::string Subject;
  std::string Reason;
  auto operator<=>(const RecordAuditEvent &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Action, Subject, Reason);
  }
};

using CommandBody =
    std::variant<ApplyManifest, RegisterProxy, RemoveProxy, RecordTarget,
                 FenceGroup, PromoteTarget, ConfirmTargetLog, RemoveTarget,
                 RecordAuditEvent, DrainGroup>;

struct Command {
  std::string Actor; ///< The operator, or "control" for the system itself.
  Millis WallTime;   ///< The proposer's; for people only.
  CommandBody Body;

  auto operator<=>(const Command &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Actor, WallTime, Body);
  }
};

} // namespace corianderdyke

#endif
