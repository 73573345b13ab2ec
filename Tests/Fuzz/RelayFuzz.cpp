/// \file
/// Frames between proxies that carry each other's statements: any bytes.

#include "Common/Codec.h"
#include "FuzzSupport.h"
#include "Relay/RelayFrames.h"

using namespace corianderdyke;

void fuzzOne(const std::string &Input) {
  const auto Message = decode<RelayMessage>(Input);
  if (!Message)
    return;
  // What was read is written and read again as the same.
  const auto Again = decode<RelayMessage>(encode(*Message));
  expect(Again.has_value() && *Again == *Message);
}
