/// \file
/// Statements of callers and answers of targets as values, whatever protocol
/// carries them.

#ifndef CORIANDERDYKE_STATEMENTS_STATEMENT_H
#define CORIANDERDYKE_STATEMENTS_STATEMENT_H

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace corianderdyke {

/// A place in the log of a database group. A later term comes after every
/// place of an earlier one.
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
  Set,     ///< Gives a session value.
  Prepare, ///< Names a statement shape.
  Execute, ///< Runs a prepared shape with arguments.
  Deallocate,
  Malformed, ///< Couldn't be read; Text says why.
};

struct Statement {
  StatementKind Kind = StatementKind::Malformed;
  std::string Id;        ///< The caller's, carried to the target unchanged.
  std::string Text;      ///< As the caller sent it.
  std::string Name;      ///< Of a session value or a prepared statement.
  std::string Value;     ///< The session value, or the shape to prepare.
  std::string Arguments; ///< Of an execution, behind the name.
  bool Writes = false;   ///< The shape to prepare is one of a write.

  bool operator==(const Statement &) const = default;
};

/// Why a statement has no result.
enum class RefusalCode : std::uint8_t {
  Busy,            ///< Didn't run: no capacity.
  Unreachable,     ///< Didn't run: nobody asked reaches the target.
  Aborted,         ///< Nothing of the transaction is kept.
  Lagging,         ///< Didn't run: the log lacks the position asked for.
  ReadOnly,        ///< Didn't run: the target doesn't lead.
  Misrouted,       ///< Didn't run: another target answers at that address.
  ConnectionLimit, ///< Didn't run: the target takes no more connections.
  NoStatement,     ///< Didn't run: no such prepared statement.
  NoDatabase,      ///< Didn't run: no route has that name.
  Malformed,       ///< Didn't run: not understood, or not allowed now.
  Failed,          ///< Ran and failed.
  Timeout,         ///< Ran or may have.
  Unknown,         ///< May have run; nobody can tell.
  Unauthorised,    ///< Didn't run: the caller's key isn't one of the plan's.
};

struct StatementRefusal {
  RefusalCode Code = RefusalCode::Unknown;
  std::string Reason;

  bool operator==(const StatementRefusal &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Code, Reason); }
};

/// Where a session stands after an answer.
enum class SessionPhase : std::uint8_t { Idle, InTransaction, Failed };

/// A whole answer to one statement.
struct StatementAnswer {
  std::vector<std::string> Rows;
  std::string Signature; ///< The target's signature of the result; opaque here.
  std::optional<StatementRefusal> Refusal;
  SessionPhase Phase = SessionPhase::Idle;
  std::optional<LogPosition> Position; ///< Where the target's log stood.

  bool operator==(const StatementAnswer &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Rows, Signature, Refusal, Phase, Position);
  }
};

/// Session values by name.
using SessionValues = std::map<std::string, std::string>;

} // namespace corianderdyke

#endif
