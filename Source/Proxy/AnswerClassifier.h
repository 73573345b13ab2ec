/// \file
/// Judges what a target's answer proves about a statement.

#ifndef CORIANDERDYKE_PROXY_ANSWERCLASSIFIER_H
#define CORIANDERDYKE_PROXY_ANSWERCLASSIFIER_H

#include "Common/Error.h"
#include "Http/HttpMessage.h"
#include "Manifest/Manifest.h"

namespace corianderdyke {

enum class AnswerClass : std::uint8_t {
  Ran,          ///< It ran to its end; a read's rows or a write's position.
  Failed,       ///< It ran and the target reports an error of the statement.
  NoAnswer,     ///< No whole answer of a target came: it may have run.
  TermMismatch, ///< Refused before running: the target isn't (yet) primary or
                ///< replica of the term.
  BehindFloor,  ///< Refused before running: the replica lacks the floor.
  NotConnected, ///< Refused before running: the connection isn't known there.
  Refused,      ///< Refused before running, for good.
};

/// Only an answer with the target's own reason proves that the statement
/// didn't run, and only one with the target's term is a target's answer at
/// all. Anything else, such as a 503 of some box on the way, may come after
/// the statement ran: taking it for "not run" would let a caller hand over
/// the same bale twice.
AnswerClass classifyAnswer(const Expected<HttpResponse> &Answer);

} // namespace corianderdyke

#endif
