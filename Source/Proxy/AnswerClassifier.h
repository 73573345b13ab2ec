/// \file
/// Classifies a target's answer by what it proves about the statement.

#ifndef CORIANDERDYKE_PROXY_ANSWERCLASSIFIER_H
#define CORIANDERDYKE_PROXY_ANSWERCLASSIFIER_H

#include "Common/Error.h"
#include "Http/HttpMessage.h"
#include "Manifest/Manifest.h"

namespace corianderdyke {

enum class AnswerClass : std::uint8_t {
  Ran,          ///< It ran to completion; the answer has a read's rows or a
                ///< write's position.
  Failed,       ///< It ran, and the target reports an error in the statement.
  NoAnswer,     ///< No complete answer from a target: it may have run.
  TermMismatch, ///< Refused before running: the target is not, or not yet, the
                ///< primary or a replica of the term.
  BehindFloor,  ///< Refused before running: the replica has not reached the
                ///< floor.
  NotConnected, ///< Refused before running: the target does not know the
                ///< connection.
  Refused,      ///< Refused before running; a retry would be refused too.
};

/// Only an answer that contains the target's term comes from a target, and only
/// one that also contains the target's reason proves that the statement did not
/// run. Any other answer, such as a 503 from an intermediary, may come after
/// the statement ran: classified as not run, it would let the caller repeat a
/// write that took effect.
AnswerClass classifyAnswer(const Expected<HttpResponse> &Answer);

} // namespace corianderdyke

#endif
