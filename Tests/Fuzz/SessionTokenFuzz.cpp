/// \file
/// Session tokens that callers bring: any text, and any bytes under a seal.

#include "FuzzSupport.h"
#include "Session/SessionToken.h"

using namespace corianderdyke;

void fuzzOne(const std::string &Input) {
  const std::string Key = "a key for the sessions";
  const auto Opened = verifyToken(Input, Key);
  if (!Opened)
    return;
  const auto Again = verifyToken(signToken(*Opened, Key), Key);
  expect(Again.has_value() && *Again == *Opened);
}
