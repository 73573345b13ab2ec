/// \file
/// Messages between processes: any bytes under a good seal.

#include "Common/Codec.h"
#include "Common/KeyedDigest.h"
#include "FuzzSupport.h"
#include "Transport/Envelope.h"

using namespace corianderdyke;

void fuzzOne(const std::string &Input) {
  const std::string Key = "a key for the peers";
  const auto Opened = open(keyedDigest(Key, Input) + Input, Key);
  if (!Opened)
    return;
  // What was read is written and read again as the same.
  const auto Again = open(seal(*Opened, Key), Key);
  expect(Again.has_value() && *Again == *Opened);
}
