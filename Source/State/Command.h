/// \file
/// The commands in the log of the control group. Each log entry holds one.

#ifndef CORIANDERDYKE_STATE_COMMAND_H
#define CORIANDERDYKE_STATE_COMMAND_H

#include "State/ClusterView.h"

#include <variant>

namespace corianderdyke {

/// Puts a manifest into force.
struct ApplyManifest {
  Manifest New;
  std::string Text; ///< The file as the operator sent it.
  auto operator<=>(const ApplyManifest &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(New, Text); }
};

/// Permits one incarnation of a proxy to request leases. It is committed before
/// the first lease is granted, so that a new leader knows every proxy that may
/// hold one.
struct RegisterProxy {
  ProcessId Id;
  Locality ProxyLocality;
  auto operator<=>(const RegisterProxy &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, ProxyLocality);
  }
};

/// Removes a proxy whose last lease has certainly expired.
struct RemoveProxy {
  ProcessId Id;
  auto operator<=>(const RemoveProxy &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Id); }
};

/// Records an announcement of a target.
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

/// Makes a target the primary of a term.
struct PromoteTarget {
  std::string Database;
  std::uint64_t Term = 0;
  std::string Target;
  std::uint64_t Position = 0; ///< End of its log, where the term forks.
  std::uint64_t Sequence = 0; ///< Incarnation that reported it.
  bool Lossy = false;         ///< Read too few targets to rule out loss.
  std::string Reason;
  auto operator<=>(const PromoteTarget &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Database, Term, Target, Position, Sequence, Lossy, Reason);
  }
};

/// Confirms that a target that joined or came back without its log has caught
/// up in this term.
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

/// Removes a target that has left or has been silent for too long.
struct RemoveTarget {
  std::string Target;
  std::uint64_t Sequence = 0;
  std::string Reason;
  auto operator<=>(const RemoveTarget &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Target, Sequence, Reason);
  }
};

/// Starts the hand-over from a primary that is leaving.
struct DrainGroup {
  std::string Database;
  std::uint64_t Term = 0;
  std::string Reason;
  auto operator<=>(const DrainGroup &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Database, Term, Reason);
  }
};

/// Adds an audit record that says what the system cannot or will not do and
/// why, or who requested a change that an entry of another kind makes.
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
  Millis WallTime;   ///< Clock of the proposer; for display only.
  CommandBody Body;

  auto operator<=>(const Command &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Actor, WallTime, Body);
  }
};

} // namespace corianderdyke

#endif
