/// \file
/// The ports through which statements come in and go out: one towards
/// callers, one towards targets.

#ifndef CORIANDERDYKE_STATEMENTS_LINKS_H
#define CORIANDERDYKE_STATEMENTS_LINKS_H

#include "Common/Identity.h"
#include "Common/Millis.h"
#include "Statements/Statement.h"

#include <functional>
#include <memory>

namespace corianderdyke {

/// The way back to one caller.
class CallerLink {
public:
  virtual ~CallerLink() = default;

  /// Tells that the session is open.
  virtual void accept() = 0;
  /// Tells why it isn't, and closes.
  virtual void reject(const StatementRefusal &Why) = 0;
  /// Answers the oldest unanswered statement.
  virtual void answer(const StatementAnswer &Answer) = 0;
  /// Closes once everything written has left.
  virtual void close() = 0;
};

/// What goes to a target on one connection.
struct TargetCommand {
  enum class Kind : std::uint8_t {
    Reset, ///< Clears the values and prepared names of the connection.
    SetValue,
    Prepare,
    Begin,
    BeginRead,
    Rollback,
    Run,     ///< The caller's text, unchanged.
    Execute, ///< A prepared name of ours with the caller's arguments.
    Status,
    StopReceiving,
    ResumeReceiving,
    StepDown,
  };

  Kind Operation = Kind::Run;
  std::string Id = {};   ///< The caller's statement; empty for one of our own.
  std::string Text = {}; ///< The caller's text, a shape, a value or arguments.
  std::string Name = {}; ///< Of a value or a prepared statement.
  /// The target refuses unless its log holds this position.
  std::optional<LogPosition> MinPosition = {};
  std::uint64_t Term = 0; ///< For orders about the lead.
  /// Where connections are shared: whose turn is first, 0 the highest, and
  /// how long this may wait for its turn before it's refused as not run.
  std::uint32_t Priority = 0;
  Millis MaxQueueTime = {};
  /// Where connections are shared: neither this nor what follows it in the
  /// same write is sent unless the command before it succeeded. It saves a
  /// way to the gateway and back.
  bool NeedsPrevious = false;

  bool operator==(const TargetCommand &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Operation, Id, Text, Name, MinPosition, Term, Priority, MaxQueueTime,
       NeedsPrevious);
  }
};

/// True for commands that only change what the target holds for a connection.
inline bool isSessionStateCommand(TargetCommand::Kind What) {
  return What == TargetCommand::Kind::Reset ||
         What == TargetCommand::Kind::SetValue ||
         What == TargetCommand::Kind::Prepare;
}

/// One connection to a target. Answers come in the order of the commands.
class TargetLink {
public:
  struct Events {
    /// The target took the connection.
    std::function<void()> OnOpen;
    std::function<void(StatementAnswer)> OnAnswer;
    /// No answer will come any more; the refusal tells what the target said
    /// on opening, where it said anything.
    std::function<void(std::optional<StatementRefusal>)> OnClose;
    /// Answers are due and the other side doesn't answer keepalives either.
    /// They may still come. Not raised by every link; may be empty.
    std::function<void()> OnKeepaliveTimeout = nullptr;
  };

  virtual ~TargetLink() = default;

  /// Sends commands in one write.
  virtual void send(const std::vector<TargetCommand> &Commands) = 0;
  /// True where it's no connection of its own: it takes one of those that
  /// all proxies share, for one transaction or statement at a time.
  virtual bool isShared() const { return false; }
};

/// Where a target is, whom to expect there, and on whose behalf.
struct TargetAddress {
  std::string Group;
  std::string Id;
  Endpoint Address;
  /// Whose statements the connection carries; the target is told. Empty where
  /// the plan declares no organisations.
  std::string Organisation = {};
  /// It carries no caller's statement, only the process's own questions: a
  /// shared link may then use any organisation's connection.
  bool IsInternal = false;

  auto operator<=>(const TargetAddress &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Group, Id, Address, Organisation, IsInternal);
  }
};

class TargetConnector {
public:
  virtual ~TargetConnector() = default;

  /// Opens a connection; no event is raised before this returns. Destroying
  /// the link closes it without further events.
  virtual std::unique_ptr<TargetLink> open(const TargetAddress &To,
                                           TargetLink::Events Events) = 0;

  /// False while it isn't known yet which of the targets' connections are
  /// this process's to open.
  virtual bool knowsShares() const { return true; }

  /// True where links to a group's targets are shared ones: one more costs
  /// the target nothing.
  virtual bool sharesConnections(const std::string &Group) const {
    (void)Group;
    return false;
  }
};

} // namespace corianderdyke

#endif
