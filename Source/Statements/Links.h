/// \file
/// Interfaces through which statements arrive and leave: links to callers and
/// links to targets.

#ifndef CORIANDERDYKE_STATEMENTS_LINKS_H
#define CORIANDERDYKE_STATEMENTS_LINKS_H

#include "Common/Identity.h"
#include "Common/Millis.h"
#include "Statements/Statement.h"

#include <functional>
#include <memory>

namespace corianderdyke {

/// Link to one caller.
class CallerLink {
public:
  virtual ~CallerLink() = default;

  /// Reports that the session is open.
  virtual void accept() = 0;
  /// Reports why the session is refused, and closes the link.
  virtual void reject(const StatementRefusal &Refusal) = 0;
  /// Answers the oldest unanswered statement.
  virtual void answer(const StatementAnswer &Answer) = 0;
  /// Closes the link once all written data has been sent.
  virtual void close() = 0;
};

/// One command to a target on one connection.
struct TargetCommand {
  enum class Kind : std::uint8_t {
    Reset, ///< Clears the values and prepared names of the connection.
    SetValue,
    Prepare,
    Begin,
    BeginRead,
    Rollback,
    Run,     ///< The caller's text, unchanged.
    Execute, ///< A name prepared by this process, with the caller's arguments.
    Status,
    StopReceiving,
    ResumeReceiving,
    StepDown,
    Deallocate,
  };

  Kind Operation = Kind::Run;
  std::string Id = {};   ///< Of the caller's statement; else empty.
  std::string Text = {}; ///< Statement, text to prepare, value or arguments.
  std::string Name = {}; ///< Of a value or a prepared statement.
  /// The target refuses unless its log holds this position.
  std::optional<LogPosition> MinPosition = {};
  std::uint64_t Term = 0; ///< For commands that change the leader.
  /// If connections are shared: the priority, 0 being the highest, and how
  /// long the command may wait for a connection before it is refused as not
  /// run.
  std::uint32_t Priority = 0;
  Millis MaxQueueTime = {};
  /// If connections are shared: this command and those that follow it in the
  /// same write are sent only if the command before it succeeded. It saves a
  /// round trip to the gateway.
  bool NeedsPrevious = false;
  /// If connections are shared: how long the command may wait beyond
  /// MaxQueueTime for capacity that commands in time leave. 0: it is refused at
  /// the end of MaxQueueTime.
  Millis MaxLateTime = {};

  bool operator==(const TargetCommand &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Operation, Id, Text, Name, MinPosition, Term, Priority, MaxQueueTime,
       NeedsPrevious, MaxLateTime);
  }
};

/// True for commands that only change the state that the target holds for a
/// connection.
inline bool isSessionStateCommand(TargetCommand::Kind Operation) {
  return Operation == TargetCommand::Kind::Reset ||
         Operation == TargetCommand::Kind::SetValue ||
         Operation == TargetCommand::Kind::Prepare;
}

/// One connection to a target. Answers come in the order of the commands.
class TargetLink {
public:
  struct Events {
    /// The target has accepted the connection.
    std::function<void()> OnOpen;
    std::function<void(StatementAnswer)> OnAnswer;
    /// No more answers will arrive; the refusal is the target's answer to the
    /// opening, if there was one.
    std::function<void(std::optional<StatementRefusal>)> OnClose;
    /// Answers are due and the other side does not answer keepalives either.
    /// The answers may still arrive. Not all links raise this; may be empty.
    std::function<void()> OnKeepaliveTimeout = nullptr;
    /// The target sent a line that the protocol does not allow, for the reason
    /// given; OnClose follows. Not all links raise this; may be empty.
    std::function<void(const std::string &)> OnInvalidLine = nullptr;
  };

  virtual ~TargetLink() = default;

  /// Sends commands in one write.
  virtual void send(const std::vector<TargetCommand> &Commands) = 0;
  /// True if it is not a dedicated connection: it uses one of those that all
  /// proxies share, for one transaction or statement at a time.
  virtual bool isShared() const { return false; }
};

/// Address of a target, its expected identity, and the organisation that the
/// connection is for.
struct TargetAddress {
  std::string Group;
  std::string Id;
  Endpoint Address;
  /// The organisation whose statements the connection carries; it is sent to
  /// the target. Empty if the plan declares no organisations.
  std::string Organisation = {};
  /// True if the connection carries no statements of callers, only requests of
  /// the process itself: a shared link may then use the connection of any
  /// organisation.
  bool IsInternal = false;

  auto operator<=>(const TargetAddress &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Group, Id, Address, Organisation, IsInternal);
  }
};

/// This process's place among those that probe the replicas of a group.
struct ProbeTurn {
  std::size_t Rank = 0;
  /// How many processes take turns; 0 if each proxy does.
  std::size_t Count = 0;

  auto operator<=>(const ProbeTurn &) const = default;
};

class TargetConnector {
public:
  virtual ~TargetConnector() = default;

  /// Opens a connection; no event is raised before this returns. Destroying
  /// the link closes it without further events.
  virtual std::unique_ptr<TargetLink> open(const TargetAddress &To,
                                           TargetLink::Events Events) = 0;

  /// False while it is not known yet how many connections to the targets this
  /// process may open.
  virtual bool isShareKnown() const { return true; }

  /// True if links to a group's targets are shared: one more costs the target
  /// nothing.
  virtual bool sharesConnections(const std::string &Group) const {
    (void)Group;
    return false;
  }

  /// Returns this process's turn in probing the replicas of a group with this
  /// leader; nothing if other processes probe them.
  virtual std::optional<ProbeTurn> probeTurn(const std::string &Group,
                                             const std::string &Leader) const {
    (void)Group;
    (void)Leader;
    return ProbeTurn{};
  }
};

} // namespace corianderdyke

#endif
