/// \file
/// One connection to a target, with the session state that it carries.

#ifndef CORIANDERDYKE_PIPELINE_TARGETCONNECTION_H
#define CORIANDERDYKE_PIPELINE_TARGETCONNECTION_H

#include "Common/Millis.h"
#include "Pipeline/AnswerMatcher.h"

#include <deque>
#include <set>

namespace corianderdyke {

/// A statement that a caller prepared.
struct PreparedStatement {
  std::string Text; ///< The statement text, without the name.
  bool Writes = false;

  auto operator<=>(const PreparedStatement &) const = default;
};

/// An answer that a target sent and that no handler received.
struct UnexpectedAnswer {
  std::string Target;
  /// Repeated: dropped. Mismatched: the connection was ended.
  AnswerMatcher::Verdict Verdict = AnswerMatcher::Verdict::Mismatched;
  StatementAnswer Answer;
  /// Why the lines that the target sent are no answer; else empty.
  std::string Problem = {};

  bool operator==(const UnexpectedAnswer &) const = default;
};

/// Tracks which session values and prepared names the target holds for this
/// connection. A statement that ran with another session's values would return
/// that session's view of the data.
///
/// A handler receives only an answer that belongs to its command
/// (AnswerMatcher); a connection whose answers cannot be told apart ends.
class TargetConnection {
public:
  enum class Stage : std::uint8_t { Opening, Idle, Busy, Closed };
  using OnAnswer = std::function<void(const StatementAnswer &)>;

  struct Step {
    TargetCommand Command;
    OnAnswer Handler = nullptr;
    /// The next command must not be sent if this opening is refused: the answer
    /// is delivered only once another one has shown that it is no copy.
    bool NeedsProof = false;
  };

  struct Events {
    std::function<void()> OnOpen;
    std::function<void(std::optional<StatementRefusal>)> OnClose;
    std::function<void()> OnKeepaliveTimeout = nullptr; ///< As TargetLink's.
    std::function<void(const UnexpectedAnswer &)> OnUnexpectedAnswer = nullptr;
  };

  TargetConnection(TargetConnector &Connector, const TargetAddress &To,
                   Millis Now, Events Handlers);
  ~TargetConnection() { *Alive = false; }
  TargetConnection(const TargetConnection &) = delete;
  TargetConnection &operator=(const TargetConnection &) = delete;

  /// Appends the steps that give this connection exactly the values \p Wanted.
  void appendValueSteps(const SessionValues &Wanted, std::vector<Step> &Out);
  /// Appends the step that prepares \p ToPrepare on this connection, if needed,
  /// and returns its name here.
  std::string prepare(const PreparedStatement &ToPrepare,
                      std::vector<Step> &Out);
  /// Sends \p Steps in one write. If a step without a handler fails, the
  /// connection closes, since the state that the target holds for it is then
  /// unknown.
  void send(std::vector<Step> Steps);
  /// Closes the connection at once; no handler runs afterwards.
  void close();
  /// Marks the session values as unknown: the next use resets them.
  void invalidateValues() { AreValuesValid = false; }
  bool hasValues(const SessionValues &Wanted) const {
    return AreValuesValid && Values == Wanted;
  }

  const TargetAddress &address() const { return Address; }
  bool isShared() const { return IsShared; }
  Stage stage() const { return CurrentStage; }
  void setBusy(bool Busy, Millis Now);
  Millis idleSince() const { return IdleSince; }
  Millis openedAt() const { return OpenedAt; }
  /// True once the target has accepted the connection.
  bool hasOpened() const { return HasOpened; }
  /// Why the connection was ended for what the target sent; else empty.
  const std::string &endReason() const { return EndReason; }
  /// True once another connection should take its place.
  bool isWorn() const { return Matcher.isWorn(); }

private:
  struct PendingAnswer {
    OnAnswer Handler;
    bool NeedsProof = false;
  };
  struct HeldAnswer {
    OnAnswer Handler;
    StatementAnswer Answer;
  };

  AnswerMatcher::Verdict match(const StatementAnswer &Answer);
  void handleAnswer(const StatementAnswer &Answer);
  void handleInvalidLine(const std::string &Problem);
  void deliver(const OnAnswer &Handler, const StatementAnswer &Answer);
  /// Sends commands whose answers show that the held refusal was no copy.
  void sendConfirmation();
  /// Appends pairs of commands whose answers have a known form in \p Phase.
  void appendConfirmation(SessionPhase Phase, std::size_t Repetitions,
                          std::vector<TargetCommand> &Out);
  void deliverHeld();
  void reportUnexpected(AnswerMatcher::Verdict Verdict,
                        const StatementAnswer &Answer,
                        const std::string &Problem = {});
  /// Ends the connection because its answers cannot be told apart.
  void endMismatched();
  void handleClosed(const std::optional<StatementRefusal> &Refusal);

  TargetAddress Address;
  bool IsShared = false;
  Events Handlers;
  std::unique_ptr<TargetLink> Link;
  Stage CurrentStage = Stage::Opening;
  SessionValues Values;
  bool AreValuesValid = true;
  /// Names at the target by prepared statement; cleared by a reset.
  std::map<PreparedStatement, std::string> Prepared;
  std::uint64_t NextName = 1;
  bool HasOpened = false;
  std::string EndReason;
  AnswerMatcher Matcher; ///< Unused if the connection is shared.
  std::deque<PendingAnswer> Pending;
  /// An answer that is being confirmed, and those behind it.
  std::deque<HeldAnswer> Held;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  Millis IdleSince;
  Millis OpenedAt;
};

using TargetConnectionPtr = std::shared_ptr<TargetConnection>;

} // namespace corianderdyke

#endif
