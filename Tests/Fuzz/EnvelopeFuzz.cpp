/// \file
/// Messages between processes: any bytes under a good seal.

#include "Common/Codec.h"
#include "Common/Cryptography.h"
#include "FuzzSupport.h"
#include "Transport/Envelope.h"

using namespace corianderdyke;

void fuzzOne(const std::string &Input) {
  const std::string Key = "a key for the peers";
  const auto Opened = verifyAndDecode(truncatedHmac(Key, Input) + Input, Key);
  if (!Opened)
    return;
  // What was read is written and read again as the same.
  const auto Again = verifyAndDecode(signAndEncode(*Opened, Key), Key);
  expect(Again.has_value() && *Again == *Opened);
}
