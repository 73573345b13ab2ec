/// \file
/// Fuzzes the parser of the settings file.

#include "FuzzSupport.h"
#include "Settings/Settings.h"

void fuzzOne(const std::string &Input) {
  const auto Read = corianderdyke::parseSettings("fuzz.toml", Input);
  expect(Read || !Read.error().empty());
}
