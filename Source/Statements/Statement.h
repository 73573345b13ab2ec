/// \file
/// Statements of callers and answers of targets as values, independent of the
/// protocol that carries them.

#ifndef CORIANDERDYKE_STATEMENTS_STATEMENT_H
#define CORIANDERDYKE_STATEMENTS_STATEMENT_H

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace corianderdyke {

/// A position in the log of a database group. A later term comes after every
/// position of an earlier one.
struct LogPosition {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;

  auto operator<=>(const LogPosition &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Term, Number); }
};

enum class StatementKind : std::uint8_t {
  Begin,     ///< A transaction that may write.
  BeginRead, ///< A transaction that only reads.
  Commit,
  Rollback,
  Read,
  Write,
  Set,     ///< Sets a session value.
  Prepare, ///< Prepares a statement under a name.
  Execute, ///< Runs a prepared statement with arguments.
  Deallocate,
  Malformed, ///< Could not be parsed; Text says why.
};

struct Statement {
  StatementKind Kind = StatementKind::Malformed;
  std::string Id;        ///< The caller's id, sent to the target unchanged.
  std::string Text;      ///< As the caller sent it.
  std::string Name;      ///< Of a session value or a prepared statement.
  std::string Value;     ///< The session value, or the statement to prepare.
  std::string Arguments; ///< Of Execute, after the name.
  bool Writes = false;   ///< The statement to prepare writes.

  bool operator==(const Statement &) const = default;
};

/// Why a statement has no result.
enum class RefusalCode : std::uint8_t {
  Busy,        ///< Did not run: no capacity.
  Unreachable, ///< Did not run: no gateway that was asked reaches the target.
  Aborted,     ///< Nothing of the transaction is kept.
  Lagging,     ///< Did not run: the log lacks the required position.
  ReadOnly,    ///< Did not run: the target does not lead.
  Misrouted,   ///< Did not run: another target answers at that address.
  ConnectionLimit, ///< Did not run: the target is at its connection limit.
  NoStatement,     ///< Did not run: no such prepared statement.
  NoDatabase,      ///< Did not run: no route has that name.
  Malformed,       ///< Did not run: not valid, or not allowed in this phase.
  Failed,          ///< Ran and failed.
  Timeout,         ///< Ran or may have run.
  Unknown,         ///< May have run; the outcome is unknown.
  Unauthorised,    ///< Did not run: the caller's key is not in the plan.
};

struct StatementRefusal {
  RefusalCode Code = RefusalCode::Unknown;
  std::string Reason;

  bool operator==(const StatementRefusal &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Code, Reason); }
};

/// Transaction state of a session after an answer.
enum class SessionPhase : std::uint8_t { Idle, InTransaction, Failed };

/// The complete answer to one statement.
struct StatementAnswer {
  std::vector<std::string> Rows;
  std::string Signature; ///< The target's signature of the result; opaque here.
  std::optional<StatementRefusal> Refusal;
  SessionPhase Phase = SessionPhase::Idle;
  std::optional<LogPosition> Position; ///< Position of the target's log.

  bool operator==(const StatementAnswer &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Rows, Signature, Refusal, Phase, Position);
  }
};

/// Session values by name.
using SessionValues = std::map<std::string, std::string>;

} // namespace corianderdyke

#endif
