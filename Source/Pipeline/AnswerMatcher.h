/// \file
/// Decides which answers of a connection belong to its commands.

#ifndef CORIANDERDYKE_PIPELINE_ANSWERMATCHER_H
#define CORIANDERDYKE_PIPELINE_ANSWERMATCHER_H

#include "Statements/Links.h"

#include <array>
#include <deque>
#include <unordered_set>

namespace corianderdyke {

/// Answers carry no id: they come in the order of their commands. A target that
/// sends an answer twice would shift all later ones, so each answer has to fit
/// the oldest command by what the protocol says of it:
///
/// - A result of a caller's statement is signed, and no target signs two
///   results alike on one connection. All other answers are unsigned.
/// - The transaction state follows from the command and the state before it.
/// - A refusal has nothing of its own. One that equals an earlier refusal of
///   the connection is held until a confirmation shows that no other answer to
///   its command was on the way: commands whose answers have a known form.
///
/// First copies arrive in the order of the commands, copies at any later time.
class AnswerMatcher {
public:
  /// What the answer to a command must look like.
  enum class Expectation : std::uint8_t {
    Result,      ///< Signed.
    Opening,     ///< Unsigned, with a transaction open.
    Ending,      ///< Unsigned, with no transaction open.
    StateChange, ///< Unsigned, in the same transaction state.
    Rejection,   ///< Refused as malformed in a failed transaction.
  };

  enum class Verdict : std::uint8_t {
    Expected,    ///< Answers the oldest command.
    Repeated,    ///< A copy of an earlier answer: no command has lost its own.
    Unconfirmed, ///< Answers the oldest command, if a confirmation follows.
    Confirmed,   ///< Answers a command of a confirmation.
    Mismatched,  ///< The order of answers can no longer be trusted.
  };

  void recordSent(TargetCommand::Kind Operation);
  /// Records a command of a confirmation: only the answer that it expects
  /// confirms.
  void recordSentConfirmation(Expectation Wanted);
  Verdict match(const StatementAnswer &Answer);

  /// Transaction state once all outstanding commands have been answered as
  /// expected.
  SessionPhase expectedPhase() const;
  bool awaitsConfirmation() const;
  /// True if a copy of the answer to an earlier opening may arrive.
  bool hasSeenOpening() const {
    return HasUnsigned.at(
        static_cast<std::size_t>(SessionPhase::InTransaction));
  }
  /// True if the last refusal said that the transaction of its statement isn't
  /// open, although its opening had been answered.
  bool hasLostTransaction() const { return HasLostTransaction; }
  /// True once so many results were received that the connection should be
  /// replaced, since it remembers all their signatures.
  bool isWorn() const { return Signatures.size() >= MaxSignatures; }

private:
  struct Command {
    Expectation Wanted = Expectation::Result;
    bool IsConfirmation = false;
  };

  Verdict matchRefusal(const StatementAnswer &Answer);
  Verdict matchResult(const StatementAnswer &Answer);
  Verdict matchUnsigned(const StatementAnswer &Answer);
  Verdict accept(const StatementAnswer &Answer);
  /// True if the unsigned success \p Answer may belong to \p Sent.
  static bool fits(const Command &Sent, const StatementAnswer &Answer,
                   SessionPhase Before);

  /// Bounds the memory of a connection to about 1 MiB.
  static constexpr std::size_t MaxSignatures = 16384;

  std::deque<Command> Outstanding;
  SessionPhase Phase = SessionPhase::Idle; ///< After the last matched answer.
  bool HasLostTransaction = false;
  std::unordered_set<std::uint64_t> Signatures; ///< Hashes.
  std::unordered_set<std::uint64_t> Refusals;   ///< Hashes of code and reason.
  /// By phase: whether an unsigned success with it was received.
  std::array<bool, 3> HasUnsigned = {};
};

} // namespace corianderdyke

#endif
