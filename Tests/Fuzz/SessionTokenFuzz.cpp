/// \file
/// Fuzzes the verification of session tokens from callers.

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
